#include "nutmegtide/fleet/gossip.h"

#include <algorithm>

// Which members a member contacts, and through which helpers.
namespace nutmegtide {

namespace {

constexpr std::size_t QueriesBeforeDeath = 2; // more would exceed the bytes that a node may use
constexpr std::size_t MaxSeedsPerInterval = 3;
constexpr std::size_t MaxQueuedRechecks = 4096;

template <typename Value>
const Value &pick(const std::vector<Value> &values, std::mt19937_64 &generator)
{
    return values[generator() % values.size()];
}

} // namespace

std::vector<VmName> Gossip::membersByPresence(bool isPresent) const
{
    std::vector<VmName> names;
    for (const auto &[vm, known] : m_members) {
        if (known.member.isPresent() == isPresent && known.member.state != MemberState::Left)
            names.push_back(vm);
    }
    return names;
}

std::vector<VmName> Gossip::randomPresent(std::size_t most, const VmName &except)
{
    std::vector<VmName> names = membersByPresence(true);
    std::erase(names, except);
    std::shuffle(names.begin(), names.end(), m_generator);
    names.resize(std::min(names.size(), most));
    return names;
}

void Gossip::probeNext(GossipActions &actions)
{
    if (m_probeRound.empty()) {
        m_probeRound = membersByPresence(true);
        std::shuffle(m_probeRound.begin(), m_probeRound.end(), m_generator);
    }
    while (!m_probeRound.empty()) {
        const VmName target = m_probeRound.back();
        m_probeRound.pop_back();
        const Member *member = find(target);
        if (!member || !member->isPresent() || m_pendingIndirect.count(target) != 0)
            continue;
        actions.push_back(call(CallKind::Direct, target, member->peers, m_settings.directTimeout));
        return;
    }
}

// Sends at most one further call an interval, which keeps the cost constant.
void Gossip::sendExtraCall(GossipActions &actions)
{
    if (presentCount() == 0) {
        contactSeeds(actions);
        return;
    }
    const auto retryEvery = static_cast<std::uint64_t>(m_settings.retryEvery);
    const auto compareEvery = static_cast<std::uint64_t>(m_settings.compareEvery);
    if (m_ticks % retryEvery == retryEvery / 2) {
        contactLostMember(actions);
        return;
    }
    if (m_ticks % compareEvery == 0) {
        const std::vector<VmName> others = membersByPresence(true);
        const VmName &vm = pick(others, m_generator);
        const bool isFromStart = m_generator() % (others.size() + 1) == 0;
        requestPage(vm, find(vm)->peers, isFromStart ? VmName() : pick(others, m_generator),
                    actions);
        return;
    }
    while (!m_recheckQueue.empty()) {
        const Member claim = m_recheckQueue.front();
        m_recheckQueue.pop_front();
        const Member *member = find(claim.vm);
        const bool isRefuted = member && member->state == MemberState::Alive
                && claim.state == MemberState::Suspect;
        if (!member || isRefuted || member->state == MemberState::Left)
            continue;
        const bool isAlive = member->state == MemberState::Alive;
        const CallKind kind = isAlive ? CallKind::Direct : CallKind::Notice;
        GossipCall request = call(kind, claim.vm, member->peers, m_settings.directTimeout);
        if (isAlive)
            request.message.updates.push_back(claim);
        // A member that suspects another by its own probe asks until the other refutes it or is
        // declared dead. A member that only heard of the suspicion asks once.
        if (member->state == MemberState::Suspect) {
            KnownMember &known = m_members.at(claim.vm);
            if (known.isAskedDirectly)
                queueRecheck(*member);
            if (known.isAskedDirectly && recheckThroughHelper(*member, actions))
                return;
            known.isAskedDirectly = true;
        }
        actions.push_back(std::move(request));
        return;
    }
}

void Gossip::contactSeeds(GossipActions &actions)
{
    std::vector<Endpoint> seeds = m_seeds;
    std::erase(seeds, m_self.peers);
    std::shuffle(seeds.begin(), seeds.end(), m_generator);
    seeds.resize(std::min(seeds.size(), MaxSeedsPerInterval));
    for (const Endpoint &seed : seeds)
        requestPage({}, seed, {}, actions);
    if (seeds.empty())
        contactLostMember(actions);
}

void Gossip::contactLostMember(GossipActions &actions)
{
    std::vector<Endpoint> lost;
    for (const VmName &vm : membersByPresence(false))
        lost.push_back(find(vm)->peers);
    for (const Endpoint &seed : m_seeds) {
        const bool isKnown = std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
            return entry.second.member.peers == seed;
        });
        if (!isKnown && seed != m_self.peers)
            lost.push_back(seed);
    }
    if (lost.empty())
        return;
    const Endpoint &to = pick(lost, m_generator);
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.second.member.peers == to;
    });
    requestPage(found == m_members.end() ? VmName() : found->first, to, {}, actions);
}

void Gossip::requestPage(const VmName &vm, const Endpoint &to, const VmName &after,
                         GossipActions &actions)
{
    GossipCall page = call(CallKind::Page, vm, to, m_settings.indirectTimeout);
    page.message.wantsPage = true;
    page.message.pageAfter = after;
    page.message.digest = digest();
    actions.push_back(std::move(page));
}

void Gossip::queueRecheck(const Member &claim)
{
    const bool isQueued = std::any_of(m_recheckQueue.begin(), m_recheckQueue.end(),
                                      [&](const Member &queued) { return queued.vm == claim.vm; });
    if (!isQueued && m_recheckQueue.size() < MaxQueuedRechecks)
        m_recheckQueue.push_back(claim);
}

GossipCall Gossip::call(CallKind kind, const VmName &target, const Endpoint &to, Duration timeout)
{
    GossipCall made;
    made.id = m_nextCall++;
    made.to = to;
    made.timeout = timeout;
    made.message.sender = m_self;
    made.message.updates = selectUpdates(target);
    m_calls[made.id] = {kind, target, to, VmName()};
    return made;
}

void Gossip::startIndirectProbe(const VmName &target, GossipActions &actions)
{
    const auto helpers = chooseHelpers(target, static_cast<std::size_t>(m_settings.helpers));
    for (const VmName &helper : helpers)
        actions.push_back(helperCall(CallKind::Indirect, target, helper));
    if (!helpers.empty())
        m_pendingIndirect[target] = static_cast<int>(helpers.size());
}

std::vector<VmName> Gossip::chooseHelpers(const VmName &target, std::size_t most)
{
    std::vector<VmName> candidates = membersByPresence(true);
    std::erase_if(candidates, [&](const VmName &vm) {
        return vm == target || find(vm)->state == MemberState::Suspect;
    });
    return m_helperSelector.choose(target, candidates, most, m_generator);
}

GossipCall Gossip::helperCall(CallKind kind, const VmName &target, const VmName &helper)
{
    GossipCall request = call(kind, target, find(helper)->peers, m_settings.indirectTimeout);
    request.message.probeTarget = target;
    m_calls.at(request.id).helper = helper;
    return request;
}

void Gossip::queryBeforeDeath(TimePoint now, GossipActions &actions)
{
    const Duration age = suspicionTime() - m_settings.probeInterval;
    KnownMember *next = nullptr;
    for (auto &[vm, known] : m_members) {
        const bool isDue = known.member.state == MemberState::Suspect && !known.isQueriedBeforeDeath
                && now - known.since >= age;
        if (isDue && (!next || known.since < next->since))
            next = &known;
    }
    if (!next)
        return;
    next->isQueriedBeforeDeath = true;
    for (const VmName &vm : randomPresent(QueriesBeforeDeath, next->member.vm)) {
        GossipCall request = call(CallKind::Notice, vm, find(vm)->peers, m_settings.directTimeout);
        request.message.updates = {next->member};
        actions.push_back(std::move(request));
    }
}

bool Gossip::recheckThroughHelper(const Member &suspected, GossipActions &actions)
{
    const std::vector<VmName> helpers = chooseHelpers(suspected.vm, 1);
    if (helpers.empty())
        return false;
    GossipCall request = helperCall(CallKind::Notice, suspected.vm, helpers.front());
    request.message.updates = {suspected};
    actions.push_back(std::move(request));
    return true;
}

} // namespace nutmegtide
