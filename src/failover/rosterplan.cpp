#include "nutmegtide/failover/rosterplan.h"

namespace nutmegtide {

namespace {

bool hasSameContent(const ServerAnnouncement &left, ServerAnnouncement right)
{
    right.sequence = left.sequence;
    return left == right;
}

} // namespace

RosterPlan::RosterPlan(RosterState state)
    : m_state(std::move(state))
{ }

ServerRoster::Servers RosterPlan::next() const
{
    ServerRoster::Servers after = m_state.recorded;
    for (const ServerAnnouncement &announcement : m_state.present) {
        const auto known = m_state.recorded.find(announcement.server);
        const bool isRecorded = known != m_state.recorded.end();
        // A repeated announcement changes nothing.
        if (isRecorded ? hasSameContent(known->second, announcement) : !mayBeAdded())
            continue;
        after[announcement.server] = announcement;
    }
    std::erase_if(after, [this](const auto &item) { return mayLeave(item.first); });
    return after;
}

} // namespace nutmegtide
