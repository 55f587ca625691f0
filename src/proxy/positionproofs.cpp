#include "nutmegtide/proxy/positionproofs.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto MinSpacing = 10ms; // proofs closer together are thinned out
constexpr auto Retention = 30s; // older proofs are dropped
constexpr auto MaxLookback = 2s; // limit of reachedAt()

} // namespace

std::vector<ServerCommand> proofCommands()
{
    ServerCommand begin;
    begin.kind = ServerCommandKind::Begin;
    ServerCommand rollback;
    rollback.kind = ServerCommandKind::Rollback;
    return {begin, rollback};
}

void PositionProofs::add(TimePoint askedAt, const LogPosition &position)
{
    const auto place = std::upper_bound(m_proofs.begin(), m_proofs.end(), askedAt,
                                        [](TimePoint moment, const Proof &proof) {
                                            return moment < proof.askedAt;
                                        });
    const bool isLatest = place == m_proofs.end();
    // Replaces the latest proof rather than skipping the new one, so that latest() stays exact.
    if (isLatest && m_proofs.size() > 1
        && m_proofs.back().askedAt - m_proofs[m_proofs.size() - 2].askedAt < MinSpacing) {
        m_proofs.back() = {askedAt, position};
    } else {
        m_proofs.insert(place, {askedAt, position});
    }
    while (m_proofs.back().askedAt - m_proofs.front().askedAt > Retention)
        m_proofs.pop_front();
}

std::optional<PositionProofs::Proof> PositionProofs::coveringSince(TimePoint moment) const
{
    const auto place = std::lower_bound(m_proofs.begin(), m_proofs.end(), moment,
                                        [](const Proof &proof, TimePoint asked) {
                                            return proof.askedAt < asked;
                                        });
    if (place == m_proofs.end())
        return std::nullopt;
    return *place;
}

TimePoint PositionProofs::reachedAt(const Proof &proof) const
{
    TimePoint moment = proof.askedAt;
    for (auto known = m_proofs.rbegin(); known != m_proofs.rend(); ++known) {
        if (known->askedAt > proof.askedAt)
            continue;
        if (known->position < proof.position || proof.askedAt - known->askedAt > MaxLookback)
            break;
        moment = known->askedAt;
    }
    return moment;
}

std::optional<TimePoint> PositionProofs::latest() const
{
    if (m_proofs.empty())
        return std::nullopt;
    return m_proofs.back().askedAt;
}

} // namespace nutmegtide
