#pragma once

#include "nutmegtide/failover/serverroster.h"

namespace nutmegtide {

// What the next roster of one service is decided from.
struct RosterState
{
    ServerRoster::Servers recorded;
    std::vector<ServerAnnouncement> present; // servers that haven't left, as last announced
    std::set<ServerId> leaving; // departed servers whose logs aren't needed any more
    // Whether a promotion is being ordered, or may still be carried out.
    bool isPromotionOpen = false;
};

// Decides which servers the control log records for a service. A caller is given the success of a
// commit only if a recorded server holds it, and a change of primary covers the servers that were
// recorded when it chose the new primary. So no server is added while a promotion is open.
//
//   const ServerRoster::Servers after = RosterPlan({before, present, leaving, isOpen}).next();
//   if (after != before)
//       propose(ServerRoster::encode(service, after));
class RosterPlan
{
public:
    explicit RosterPlan(RosterState state);

    // Returns the servers to record, with their latest announcements.
    ServerRoster::Servers next() const;

private:
    bool mayBeAdded() const { return !m_state.isPromotionOpen; }
    bool mayLeave(const ServerId &server) const { return m_state.leaving.count(server) != 0; }

    const RosterState m_state;
};

} // namespace nutmegtide
