#include "nutmegtide/control/controlmemberplanner.h"

#include <algorithm>
#include <set>

namespace nutmegtide {

namespace {

constexpr auto CandidateTimeout = 3s; // a candidate that is silent for longer isn't considered
constexpr auto MemberTimeout = 3s; // a member that is silent for longer is replaced
constexpr auto AddTimeout = 3s; // for a standby to become a member, before another one is tried
constexpr auto FailedStandbyDelay = 10s; // during which a standby that timed out comes last

} // namespace

void ControlMemberPlanner::heard(const ControlCandidate &candidate)
{
    m_candidates[candidate.member.vm] = candidate;
}

bool ControlMemberPlanner::isAlive(const ControlCandidate &candidate, TimePoint now) const
{
    return now - candidate.heardAt < CandidateTimeout;
}

// Prefers standbys that haven't failed lately, then those in a failure domain without a member.
std::optional<ControlMember> ControlMemberPlanner::bestStandby(const Members &members,
                                                               TimePoint now) const
{
    std::set<FailureDomain> taken;
    std::set<VmName> names;
    for (const ControlMember &member : members) {
        names.insert(member.vm);
        const auto known = m_candidates.find(member.vm);
        if (known != m_candidates.end())
            taken.insert(known->second.failureDomain);
    }
    const ControlCandidate *best = nullptr;
    for (const auto &[vm, candidate] : m_candidates) {
        if (names.count(vm) != 0 || !isAlive(candidate, now) || candidate.member.folder.empty())
            continue;
        const auto rank = [&](const ControlCandidate &one) {
            return std::make_pair(hasRecentlyFailed(one.member, now),
                                  taken.count(one.failureDomain) != 0);
        };
        if (best == nullptr || rank(candidate) < rank(*best))
            best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->member);
}

bool ControlMemberPlanner::hasRecentlyFailed(const ControlMember &standby, TimePoint now) const
{
    return m_failedAttempt && m_failedAttempt->standby == standby
            && now - m_failedAttempt->since < FailedStandbyDelay;
}

std::optional<ControlMemberChange> ControlMemberPlanner::next(
        const Members &members, const std::map<VmName, TimePoint> &memberLastHeard,
        const VmName &self, TimePoint now)
{
    for (const ControlMember &member : members) {
        const auto known = m_candidates.find(member.vm);
        const bool hasChangedFolder = known != m_candidates.end() && isAlive(known->second, now)
                && !member.folder.empty() && known->second.member.folder != member.folder;
        if (hasChangedFolder && member.vm != self)
            return RemoveControlMember {member.vm, "its data folder is another one"};
    }
    if (m_attempt && now - m_attempt->since > AddTimeout) {
        m_failedAttempt = Attempt {m_attempt->standby, now};
        m_attempt.reset();
    }
    const std::optional<ControlMember> standby = bestStandby(members, now);
    if (!standby)
        return std::nullopt;
    if (members.size() < m_targetSize) {
        if (!m_attempt || m_attempt->standby != *standby)
            m_attempt = Attempt {*standby, now};
        return AddControlMember {*standby};
    }
    m_attempt.reset();
    for (const ControlMember &member : members) {
        const auto heard = memberLastHeard.find(member.vm);
        const bool isLost = member.vm != self && heard != memberLastHeard.end()
                && now - heard->second > MemberTimeout;
        if (isLost)
            return RemoveControlMember {member.vm, "it is silent"};
    }
    return std::nullopt;
}

} // namespace nutmegtide
