#include "nutmegtide/fleet/gossip.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace nutmegtide {

namespace {

constexpr std::size_t LeaveNotices = 5; // members told directly that this one leaves

} // namespace

Gossip::Gossip(const GossipSettings &settings, Member self, std::vector<Endpoint> seeds,
               std::uint64_t randomSeed)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_generator(randomSeed)
{ }

GossipActions Gossip::tick(TimePoint now)
{
    GossipActions actions;
    extendSuspicionsAfterStall(now);
    expireSuspicions(now, actions);
    queryBeforeDeath(now, actions);
    forgetExpired(now);
    probeNext(actions);
    sendExtraCall(actions);
    ++m_ticks;
    return actions;
}

// A process that was stalled has received no refutations meanwhile, so the stall doesn't count.
void Gossip::extendSuspicionsAfterStall(TimePoint now)
{
    const Duration gap = m_lastTick ? now - *m_lastTick : Duration::zero();
    m_lastTick = now;
    if (gap <= 2 * m_settings.probeInterval)
        return;
    for (auto &[vm, known] : m_members) {
        if (known.member.state == MemberState::Suspect)
            known.since += gap - m_settings.probeInterval;
    }
}

Duration Gossip::suspicionTime() const
{
    const double size = static_cast<double>(presentCount()) + 1;
    const double scale = std::max(1.0, (1 + std::log10(size)) / 2);
    const auto time = m_settings.probeInterval * m_settings.suspicionRounds * scale;
    return std::chrono::duration_cast<Duration>(time);
}

int Gossip::retransmitLimit() const
{
    const double size = static_cast<double>(presentCount()) + 1;
    return m_settings.retransmits * std::max(1, static_cast<int>(std::ceil(std::log2(size + 1))));
}

void Gossip::expireSuspicions(TimePoint now, GossipActions &actions)
{
    const Duration time = suspicionTime();
    for (auto &[vm, known] : m_members) {
        if (known.member.state == MemberState::Suspect && now - known.since >= time)
            changeState(known, MemberState::Dead, now, actions);
    }
}

void Gossip::forgetExpired(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const KnownMember &known = entry.second;
        const bool isOld = !known.member.isPresent() && now - known.since >= m_settings.forgetAfter;
        if (isOld)
            m_helperSelector.forget(entry.first);
        return isOld;
    });
}

void Gossip::changeState(KnownMember &known, MemberState state, TimePoint now,
                         GossipActions &actions)
{
    known.member.state = state;
    known.since = now;
    known.isAskedDirectly = false;
    known.isQueriedBeforeDeath = false;
    queueUpdate(known.member.vm);
    static constexpr MemberChangeKind Kinds[] = {MemberChangeKind::Joined,
                                                 MemberChangeKind::Suspected,
                                                 MemberChangeKind::Died, MemberChangeKind::Left};
    actions.push_back(MemberChange {Kinds[static_cast<std::size_t>(state)], known.member});
}

void Gossip::suspect(const VmName &vm, TimePoint now, GossipActions &actions)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end() || found->second.member.state != MemberState::Alive)
        return;
    // The member that declared it dead has already waited for a refutation.
    if (found->second.isClaimedDead) {
        changeState(found->second, MemberState::Dead, now, actions);
        return;
    }
    changeState(found->second, MemberState::Suspect, now, actions);
    found->second.isAskedDirectly = true;
    queueRecheck(found->second.member);
}

GossipActions Gossip::onReply(GossipCallId id, const GossipReply &reply, TimePoint now)
{
    GossipActions actions;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return actions;
    const PendingCall pending = found->second;
    m_calls.erase(found);
    const Member *before = find(reply.sender.vm);
    const bool wasLost = before && !before->isPresent();
    applyClaim(reply.sender, now, actions);
    for (const Member &claim : reply.updates) {
        const bool wasQueued = m_transmitCounts.count(claim.vm) != 0;
        applyClaim(claim, now, actions);
        // Records from a page are already known to the fleet and aren't passed on.
        if (pending.kind == CallKind::Page && !wasQueued)
            m_transmitCounts.erase(claim.vm);
    }
    if (!pending.helper.isEmpty() && reply.isAlive)
        m_helperSelector.noteSuccess(pending.target, pending.helper);
    else if (pending.kind == CallKind::Direct)
        m_helperSelector.forget(pending.target);
    if (pending.kind == CallKind::Indirect)
        finishIndirect(pending.target, reply.isAlive, now, actions);
    if (pending.kind == CallKind::Page && !reply.pageEnd.isEmpty()) {
        // A comparison of lists fetches one page. A member that joins, or that was separated from
        // the sender by a cut, fetches all pages.
        const bool isFullSync = wasLost || !before || m_isSyncing;
        m_isSyncing = isFullSync;
        if (isFullSync)
            requestPage(reply.sender.vm, pending.to, reply.pageEnd, actions);
    } else if (pending.kind == CallKind::Page) {
        m_isSyncing = false;
    }
    return actions;
}

GossipActions Gossip::onFailure(GossipCallId id, TimePoint now)
{
    GossipActions actions;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return actions;
    const PendingCall pending = found->second;
    m_calls.erase(found);
    if (pending.kind == CallKind::Direct && m_pendingIndirect.count(pending.target) == 0) {
        startIndirectProbe(pending.target, actions);
        if (m_pendingIndirect.count(pending.target) == 0)
            suspect(pending.target, now, actions);
    }
    if (pending.kind == CallKind::Indirect)
        finishIndirect(pending.target, false, now, actions);
    if (pending.kind == CallKind::Page)
        m_isSyncing = false;
    return actions;
}

void Gossip::finishIndirect(const VmName &target, bool isAlive, TimePoint now,
                            GossipActions &actions)
{
    const auto found = m_pendingIndirect.find(target);
    if (found == m_pendingIndirect.end())
        return;
    if (isAlive) {
        m_pendingIndirect.erase(found);
        return;
    }
    if (--found->second > 0)
        return;
    m_pendingIndirect.erase(found);
    suspect(target, now, actions);
}

GossipActions Gossip::onMessage(const GossipMessage &message, TimePoint now)
{
    GossipActions actions;
    applyClaim(message.sender, now, actions);
    for (const Member &claim : message.updates)
        applyClaim(claim, now, actions);
    return actions;
}

GossipReply Gossip::answer(const GossipMessage &message)
{
    GossipReply reply;
    reply.sender = m_self;
    if (!message.wantsPage || message.digest == digest()) {
        reply.updates = selectUpdates(message.sender.vm, corrections(message));
        return reply;
    }
    reply.updates = page(message.pageAfter, reply.pageEnd);
    const Member *senderRecord = find(message.sender.vm);
    if (senderRecord && senderRecord->state != MemberState::Alive)
        reply.updates.push_back(*senderRecord);
    return reply;
}

std::optional<GossipCall> Gossip::relay(const GossipMessage &message)
{
    const Member *target = find(message.probeTarget);
    if (!target)
        return std::nullopt;
    return call(CallKind::Notice, target->vm, target->peers, m_settings.directTimeout);
}

void Gossip::setDraining()
{
    m_self.isDraining = true;
    ++m_self.version;
}

GossipActions Gossip::leave()
{
    m_self.state = MemberState::Left;
    ++m_self.version;
    GossipActions actions;
    for (const VmName &vm : randomPresent(LeaveNotices))
        actions.push_back(call(CallKind::Notice, vm, find(vm)->peers, m_settings.directTimeout));
    return actions;
}

const Member *Gossip::find(const VmName &vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second.member;
}

std::vector<Member> Gossip::present() const
{
    std::vector<Member> members;
    for (const VmName &vm : membersByPresence(true))
        members.push_back(*find(vm));
    return members;
}

std::size_t Gossip::presentCount() const
{
    const auto count = std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.member.isPresent();
    });
    return static_cast<std::size_t>(count);
}

std::uint64_t Gossip::digest() const
{
    const auto hash = [](const Member &member) {
        const std::string text = member.vm.text() + '\0' + std::to_string(member.incarnation) + '.'
                + std::to_string(member.version);
        return XXH3_64bits(text.data(), text.size());
    };
    std::uint64_t sum = hash(m_self);
    for (const auto &[vm, known] : m_members) {
        if (known.member.isPresent())
            sum ^= hash(known.member);
    }
    return sum;
}

} // namespace nutmegtide
