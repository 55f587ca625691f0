#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/control/raftmessage.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace nutmegtide {

// A control VM with a disk that could be a member of the control log, and when it was last heard.
struct ControlCandidate
{
    ControlMember member;
    FailureDomain failureDomain;
    TimePoint heardAt;
};

// Add this VM to the members of the control log.
struct AddControlMember
{
    ControlMember member;
};

// Remove this VM from the members of the control log.
struct RemoveControlMember
{
    VmName vm;
    std::string reason; // for operators
};

using ControlMemberChange = std::variant<AddControlMember, RemoveControlMember>;

// Decides, at the leader of the control log, which VMs are its members: enough to tolerate the
// configured number of losses, in different failure domains where possible. A member that lost its
// data folder counts as a different VM under the same name, so it is removed and may be added
// again as a new member. A silent member is replaced once a standby is available. A standby that
// doesn't become a member in time is passed over in favour of the next one.
//
//   ControlMemberPlanner planner(1);
//   planner.heard({{vm, folder}, domain, now});
//   const auto change = planner.next(log.status().members, lastHeardByLeader, self, now);
class ControlMemberPlanner
{
public:
    // Plans for 2 * `toleratedLosses` + 1 members, so that many may be lost at once.
    explicit ControlMemberPlanner(int toleratedLosses)
        : m_targetSize(2 * static_cast<std::size_t>(toleratedLosses) + 1)
    { }

    // Records the latest state of a VM that could be a member.
    void heard(const ControlCandidate &candidate);
    // Returns the next change, or nothing if the members are as they should be. `memberLastHeard`
    // says when the leader last heard each other member.
    std::optional<ControlMemberChange> next(const Members &members,
                                            const std::map<VmName, TimePoint> &memberLastHeard,
                                            const VmName &self, TimePoint now);

private:
    bool isAlive(const ControlCandidate &candidate, TimePoint now) const;
    std::optional<ControlMember> bestStandby(const Members &members, TimePoint now) const;
    bool hasRecentlyFailed(const ControlMember &standby, TimePoint now) const;

    // A standby that is being added, and the time at which that began.
    struct Attempt
    {
        ControlMember standby;
        TimePoint since;
    };

    std::size_t m_targetSize;
    std::map<VmName, ControlCandidate> m_candidates;
    std::optional<Attempt> m_attempt;
    std::optional<Attempt> m_failedAttempt; // the latest that timed out, and when it did
};

} // namespace nutmegtide
