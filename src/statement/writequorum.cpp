#include "nutmegtide/statement/writequorum.h"

#include <algorithm>

namespace nutmegtide {

WriteActions WriteQuorum::setTerm(Term term, const Voters &voters)
{
    WriteActions actions;
    if (term <= m_term)
        return actions;
    m_term = term;
    m_highestTerm = std::max(m_highestTerm, term);
    m_voters = voters;
    endOlderThan(term, actions);
    forgetOtherTerms();
    acknowledgeConfirmed(actions);
    return actions;
}

WriteActions WriteQuorum::observe(const ServerId &server, Term term, const LogPosition &durable)
{
    WriteActions actions;
    const bool isEntryOfTerm = durable.term == term;
    if (term >= m_term && isEntryOfTerm) {
        LogPosition &known = m_durable[server][term];
        known = std::max(known, durable);
    }
    if (term > m_highestTerm) {
        m_highestTerm = term;
        endOlderThan(term, actions);
        forgetOtherTerms();
    }
    acknowledgeConfirmed(actions);
    return actions;
}

WriteActions WriteQuorum::add(WriteTicket ticket, const LogPosition &position, TimePoint deadline)
{
    WriteActions actions;
    if (position.term < m_term)
        return {{WriteActionKind::OutcomeUnknown, ticket}};
    if (position.term > m_highestTerm) {
        m_highestTerm = position.term;
        endOlderThan(position.term, actions);
        forgetOtherTerms();
    }
    m_pending[ticket] = {position, deadline};
    acknowledgeConfirmed(actions);
    return actions;
}

WriteActions WriteQuorum::expire(TimePoint now)
{
    WriteActions actions;
    std::erase_if(m_pending, [&](const auto &item) {
        const bool isExpired = item.second.deadline <= now;
        if (isExpired)
            actions.push_back({WriteActionKind::OutcomeUnknown, item.first});
        return isExpired;
    });
    return actions;
}

std::optional<TimePoint> WriteQuorum::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[ticket, write] : m_pending)
        earliest = std::min(earliest.value_or(write.deadline), write.deadline);
    return earliest;
}

void WriteQuorum::endOlderThan(Term term, WriteActions &actions)
{
    std::erase_if(m_pending, [&](const auto &item) {
        const bool isOlder = item.second.position.term < term;
        if (isOlder)
            actions.push_back({WriteActionKind::OutcomeUnknown, item.first});
        return isOlder;
    });
}

void WriteQuorum::acknowledgeConfirmed(WriteActions &actions)
{
    const std::optional<LogPosition> confirmed = m_voters.majorityValue<LogPosition>(
            [this](const ServerId &server) {
                std::optional<LogPosition> position;
                const auto reports = m_durable.find(server);
                if (reports != m_durable.end() && reports->second.contains(m_term))
                    position = reports->second.at(m_term);
                return position;
            });
    if (!confirmed)
        return;
    std::erase_if(m_pending, [&](const auto &item) {
        const LogPosition &position = item.second.position;
        const bool isConfirmed = position.term == m_term && position <= *confirmed;
        if (isConfirmed)
            actions.push_back({WriteActionKind::Acknowledge, item.first});
        return isConfirmed;
    });
}

// Keeps the reports of the term in force and of the highest one, whose voters may
// be published later; so a server that reports many terms doesn't grow the table.
void WriteQuorum::forgetOtherTerms()
{
    for (auto &[server, reports] : m_durable) {
        std::erase_if(reports, [this](const auto &item) {
            return item.first != m_term && item.first != m_highestTerm;
        });
    }
}

} // namespace nutmegtide
