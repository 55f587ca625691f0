#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/control/raftmessage.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace nutmegtide {

// A control VM with a disk that could be a member of the control log.
struct ControlCandidate
{
    ControlMember member;
    FailureDomain failureDomain;
    TimePoint heardAt;
};

struct AddControlMember
{
    ControlMember member;
};

struct RemoveControlMember
{
    VmName vm;
    std::string reason;
};

using ControlMemberChange = std::variant<AddControlMember, RemoveControlMember>;

// Decides, at the leader of the control log, which VMs are its members: enough to bear the stated
// losses, in different failure domains where possible. A member whose folder is lost is another
// VM under the old name, so it is removed, and may come back as a new member; one that is silent
// is replaced once another VM stands by. One that can't be brought up to date gives way to the next.
//
//   ControlMemberPlanner crew(1);
//   crew.heard({{vm, folder}, domain, now});
//   const auto change = crew.next(log.status().members, heardByLeader, self, now);
class ControlMemberPlanner
{
public:
    // `toleratedLosses` members may be lost at once.
    explicit ControlMemberPlanner(int toleratedLosses)
        : m_targetSize(2 * static_cast<std::size_t>(toleratedLosses) + 1)
    { }

    void heard(const ControlCandidate &candidate);
    // The next change, nothing where the members are as they should be. `memberLastHeard` says when
    // the leader last heard each other member.
    std::optional<ControlMemberChange> next(const Members &members,
                                   const std::map<VmName, TimePoint> &memberLastHeard,
                                   const VmName &self, TimePoint now);

private:
    bool isAlive(const ControlCandidate &candidate, TimePoint now) const;
    std::optional<ControlMember> bestStandby(const Members &members, TimePoint now) const;
    bool hasRecentlyFailed(const ControlMember &standby, TimePoint now) const;

    // The standby that is to be added, since when.
    struct Attempt
    {
        ControlMember standby;
        TimePoint since;
    };

    std::size_t m_targetSize;
    std::map<VmName, ControlCandidate> m_candidates;
    std::optional<Attempt> m_attempt;
    std::optional<Attempt> m_failedAttempt; // the latest one that took too long, and when it ended
};

} // namespace nutmegtide
