#include "nutmegtide/fleet/gossip.h"

#include <algorithm>

// How a member applies the claims of others, and which updates it passes on.
namespace nutmegtide {

void Gossip::applyClaim(const Member &claim, TimePoint now, GossipActions &actions)
{
    if (claim.vm == m_self.vm) {
        applyClaimAboutSelf(claim);
        return;
    }
    const auto found = m_members.find(claim.vm);
    if (found == m_members.end()) {
        // The end of a member that was never known is not reported.
        if (!claim.isPresent())
            return;
        KnownMember &known = m_members[claim.vm];
        known.member = claim;
        changeState(known, MemberState::Alive, now, actions);
        if (claim.state == MemberState::Suspect)
            changeState(known, MemberState::Suspect, now, actions);
        return;
    }
    KnownMember &known = found->second;
    if (isSameVersion(claim, known.member) && claim.revision > known.member.revision) {
        known.member.revision = claim.revision;
        actions.push_back(MemberChange {MemberChangeKind::Updated, known.member});
    }
    const bool isOutdated = !overrides(claim, known.member);
    if (isOutdated) {
        // The member refutes the claim of its death once it hears of it.
        if (known.member.state == MemberState::Dead && claim.isPresent()
            && isSameVersion(claim, known.member))
            queueRecheck(claim);
        return;
    }
    if (claim.state == MemberState::Dead) {
        applyDeathClaim(claim, known, now, actions);
        return;
    }
    const bool wasPresent = known.member.isPresent();
    const bool isRestart = claim.incarnation > known.member.incarnation;
    const MemberState before = known.member.state;
    known.isClaimedDead = known.isClaimedDead && isSameVersion(claim, known.member);
    known.member = claim;
    if (claim.state == MemberState::Alive && wasPresent && !isRestart) {
        known.since = now;
        queueUpdate(claim.vm);
        actions.push_back(MemberChange {MemberChangeKind::Updated, known.member});
        return;
    }
    if (claim.state == MemberState::Suspect && (!wasPresent || isRestart))
        changeState(known, MemberState::Alive, now, actions);
    if (claim.state == MemberState::Left && before == MemberState::Dead) {
        queueUpdate(claim.vm);
        return;
    }
    changeState(known, claim.state, now, actions);
    if (claim.state == MemberState::Suspect)
        queueRecheck(claim);
}

// A claim of death that this member has not observed itself is checked by asking the member: after
// a network cut has healed, the other side's claims of death must not spread as if they were true.
void Gossip::applyDeathClaim(const Member &claim, KnownMember &known, TimePoint now,
                             GossipActions &actions)
{
    if (known.member.state == MemberState::Suspect) {
        changeState(known, MemberState::Dead, now, actions);
        return;
    }
    if (known.member.state == MemberState::Alive) {
        known.isClaimedDead = known.isClaimedDead || isSameVersion(claim, known.member);
        queueRecheck(claim);
    }
}

void Gossip::applyClaimAboutSelf(const Member &claim)
{
    const bool isOfThisRun = claim.incarnation == m_self.incarnation;
    if (!isOfThisRun || claim.version < m_self.version || m_self.state == MemberState::Left)
        return;
    if (claim.state == MemberState::Alive && claim.version == m_self.version)
        return;
    // The own record travels with every message, so every contacted member receives it.
    m_self.version = claim.version + 1;
}

// A member that still passes on an outdated claim gets the newer record in the answer. A refutation
// that happened to reach it late would find the suspected member declared dead.
std::vector<Member> Gossip::corrections(const GossipMessage &message) const
{
    std::vector<Member> corrected;
    for (const Member &claim : message.updates) {
        const Member *known = find(claim.vm);
        if (known && overrides(*known, claim))
            corrected.push_back(*known);
    }
    return corrected;
}

// The receiver first gets the claim about itself, so that it can refute it at once.
std::vector<Member> Gossip::selectUpdates(const VmName &receiver, std::vector<Member> first)
{
    std::vector<Member> updates = std::move(first);
    std::size_t size = 0;
    for (const Member &member : updates)
        size += wireSize(member);
    const Member *receiverRecord = find(receiver);
    if (receiverRecord && receiverRecord->state != MemberState::Alive) {
        updates.push_back(*receiverRecord);
        size += wireSize(*receiverRecord);
    }
    std::vector<std::map<VmName, int>::iterator> order;
    for (auto entry = m_transmitCounts.begin(); entry != m_transmitCounts.end(); ++entry)
        order.push_back(entry);
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left->second < right->second;
    });
    const int limit = retransmitLimit();
    for (const auto &entry : order) {
        const Member *member = find(entry->first);
        const bool isIncluded = std::any_of(updates.begin(), updates.end(),
                                            [&](const Member &included) {
                                                return included.vm == entry->first;
                                            });
        if (isIncluded)
            continue;
        if (member) {
            size += wireSize(*member);
            if (size > m_settings.largestMessage)
                break;
            updates.push_back(*member);
        }
        if (!member || ++entry->second >= limit)
            m_transmitCounts.erase(entry);
    }
    return updates;
}

std::vector<Member> Gossip::page(const VmName &after, VmName &end) const
{
    std::vector<Member> members;
    auto entry = after.isEmpty() ? m_members.begin() : m_members.upper_bound(after);
    for (; entry != m_members.end() && members.size() < m_settings.pageMembers; ++entry) {
        if (entry->second.member.isPresent())
            members.push_back(entry->second.member);
    }
    if (entry != m_members.end() && !members.empty())
        end = members.back().vm;
    return members;
}

} // namespace nutmegtide
