// Part of SessionProxy that reports failing primaries to control and decisions to the log.
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

namespace {

// A failure that is older is no longer reported.
constexpr auto ComplaintAge = 30s;

} // namespace

std::vector<PrimaryComplaint> SessionProxy::complaints(TimePoint now) const
{
    std::vector<PrimaryComplaint> complaints;
    for (const ServerId &server : m_pool.failingServers()) {
        const PooledServer *state = m_pool.find(server);
        if (state == nullptr)
            continue;
        std::optional<TimePoint> failedAt = state->failingSince;
        if (!failedAt || (state->writeUnansweredSince && *state->writeUnansweredSince < *failedAt))
            failedAt = state->writeUnansweredSince;
        if (!state->record.announcement.isPrimary || !failedAt || now - *failedAt >= ComplaintAge)
            continue;
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - *failedAt);
        complaints.push_back({state->record.announcement.service, server, since});
    }
    return complaints;
}

void SessionProxy::note(SessionKey key, const Work &work, std::string_view step,
                        std::string_view reason, TimePoint now)
{
    RequestDecision decision;
    decision.request = work.statement.request;
    decision.session = key;
    decision.database = work.route.database;
    decision.workspace = m_sessions.at(key).workspace;
    decision.kind = work.statement.kind;
    decision.step = step;
    decision.reason = reason;
    decision.server = work.server;
    const PooledServer *server = m_pool.find(work.server);
    decision.isPrimary = server != nullptr && server->record.announcement.isPrimary;
    decision.fault = work.lastFault;
    decision.consistency = work.route.consistency;
    if (work.need) {
        decision.needed = work.need->position;
        decision.neededAge = now - work.need->reachedAt;
    }
    if (work.phase == Phase::Confirm) {
        decision.committed = work.withheld.position;
        decision.withheld = now - work.withheldAt;
        const auto state = m_confirmations.find(work.route.service);
        if (state != m_confirmations.end())
            decision.asked = state->second.commits.missedServers();
    }
    decision.waited = m_sessions.at(key).usedAt - work.arrivedAt;
    decision.revision = work.revision;
    m_delegate.requestDecided(decision);
}

} // namespace nutmegtide
