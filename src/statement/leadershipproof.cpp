#include "nutmegtide/statement/leadershipproof.h"

#include <algorithm>

namespace nutmegtide {

void LeadershipProof::setTerm(Term term, const Voters &voters)
{
    if (term <= m_term)
        return;
    m_term = term;
    m_voters = voters;
}

void LeadershipProof::confirm(const ServerId &server, Term term, TimePoint sentAt)
{
    const auto [found, isNew] = m_confirmations.try_emplace(server, Confirmation {term, sentAt});
    Confirmation &known = found->second;
    if (isNew || term < known.term)
        return;
    const bool isHigherTerm = term > known.term;
    known = {term, isHigherTerm ? sentAt : std::max(known.sentAt, sentAt)};
}

std::optional<TimePoint> LeadershipProof::confirmedAt() const
{
    return m_voters.majorityValue<TimePoint>([this](const ServerId &server) {
        std::optional<TimePoint> sentAt;
        const auto found = m_confirmations.find(server);
        if (found != m_confirmations.end() && found->second.term == m_term)
            sentAt = found->second.sentAt;
        return sentAt;
    });
}

bool LeadershipProof::isConfirmedWithin(Duration detectionTime, TimePoint now) const
{
    const std::optional<TimePoint> moment = confirmedAt();
    return moment && now - *moment <= detectionTime;
}

} // namespace nutmegtide
