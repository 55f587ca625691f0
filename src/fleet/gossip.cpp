#include "nutmegtide/fleet/gossip.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace nutmegtide {

namespace {

constexpr std::size_t MostSeedsAsked = 3; // in one interval
constexpr std::size_t MostRechecks = 4096; // claims that wait to be settled
constexpr std::size_t LeaveNotices = 5;

template <typename Value>
const Value &pick(const std::vector<Value> &values, std::mt19937_64 &generator)
{
    return values[generator() % values.size()];
}

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
    forgiveStandstill(now);
    expireSuspicions(now, actions);
    forgetOld(now);
    probeNext(actions);
    doExtra(actions);
    ++m_ticks;
    return actions;
}

// A process that stood still has heard no refutation meanwhile.
void Gossip::forgiveStandstill(TimePoint now)
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
            become(known, MemberState::Dead, now, actions);
    }
}

void Gossip::forgetOld(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const Known &known = entry.second;
        return !known.member.isPresent() && now - known.since >= m_settings.forgetAfter;
    });
}

void Gossip::become(Known &known, MemberState state, TimePoint now, GossipActions &actions)
{
    known.member.state = state;
    known.since = now;
    spread(known.member.vm);
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
    // Another has waited for a refutation already.
    if (found->second.isClaimedDead) {
        become(found->second, MemberState::Dead, now, actions);
        return;
    }
    become(found->second, MemberState::Suspect, now, actions);
    recheck(found->second.member);
}

std::vector<VmName> Gossip::withState(bool isPresent) const
{
    std::vector<VmName> names;
    for (const auto &[vm, known] : m_members) {
        if (known.member.isPresent() == isPresent && known.member.state != MemberState::Left)
            names.push_back(vm);
    }
    return names;
}

void Gossip::probeNext(GossipActions &actions)
{
    if (m_round.empty()) {
        m_round = withState(true);
        std::shuffle(m_round.begin(), m_round.end(), m_generator);
    }
    while (!m_round.empty()) {
        const VmName target = m_round.back();
        m_round.pop_back();
        const Member *member = find(target);
        if (!member || !member->isPresent() || m_indirect.count(target) != 0)
            continue;
        actions.push_back(call(CallKind::Direct, target, member->peers, m_settings.directTimeout));
        return;
    }
}

// At most one further call an interval keeps the cost fixed.
void Gossip::doExtra(GossipActions &actions)
{
    if (presentCount() == 0) {
        askSeeds(actions);
        return;
    }
    const auto retryEvery = static_cast<std::uint64_t>(m_settings.retryEvery);
    const auto compareEvery = static_cast<std::uint64_t>(m_settings.compareEvery);
    if (m_ticks % retryEvery == retryEvery / 2) {
        retryLost(actions);
        return;
    }
    if (m_ticks % compareEvery == 0) {
        const std::vector<VmName> others = withState(true);
        const VmName &vm = pick(others, m_generator);
        const bool isFromStart = m_generator() % (others.size() + 1) == 0;
        askPage(vm, find(vm)->peers, isFromStart ? VmName() : pick(others, m_generator), actions);
        return;
    }
    while (!m_recheck.empty()) {
        const Member claim = m_recheck.front();
        m_recheck.pop_front();
        const Member *member = find(claim.vm);
        const bool isRefuted = member && member->state == MemberState::Alive
                && claim.state == MemberState::Suspect;
        if (!member || isRefuted || member->state == MemberState::Left)
            continue;
        const bool isAlive = member->state == MemberState::Alive;
        const CallKind kind = isAlive ? CallKind::Direct : CallKind::Notice;
        GossipCall asked = call(kind, claim.vm, member->peers, m_settings.directTimeout);
        if (isAlive)
            asked.message.updates.push_back(claim);
        // Whoever suspects a member asks it again until it refutes that or is dead.
        if (member->state == MemberState::Suspect)
            recheck(*member);
        actions.push_back(std::move(asked));
        return;
    }
}

void Gossip::askSeeds(GossipActions &actions)
{
    std::vector<Endpoint> seeds = m_seeds;
    std::erase(seeds, m_self.peers);
    std::shuffle(seeds.begin(), seeds.end(), m_generator);
    seeds.resize(std::min(seeds.size(), MostSeedsAsked));
    for (const Endpoint &seed : seeds)
        askPage({}, seed, {}, actions);
    if (seeds.empty())
        retryLost(actions);
}

void Gossip::retryLost(GossipActions &actions)
{
    std::vector<Endpoint> lost;
    for (const VmName &vm : withState(false))
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
    askPage(found == m_members.end() ? VmName() : found->first, to, {}, actions);
}

void Gossip::askPage(const VmName &vm, const Endpoint &to, const VmName &after,
                     GossipActions &actions)
{
    GossipCall page = call(CallKind::Page, vm, to, m_settings.indirectTimeout);
    page.message.wantsPage = true;
    page.message.pageAfter = after;
    page.message.digest = digest();
    actions.push_back(std::move(page));
}

void Gossip::recheck(const Member &claim)
{
    const bool isQueued = std::any_of(m_recheck.begin(), m_recheck.end(),
                                      [&](const Member &queued) { return queued.vm == claim.vm; });
    if (!isQueued && m_recheck.size() < MostRechecks)
        m_recheck.push_back(claim);
}

GossipCall Gossip::call(CallKind kind, const VmName &target, const Endpoint &to, Duration timeout)
{
    GossipCall made;
    made.id = m_nextCall++;
    made.to = to;
    made.timeout = timeout;
    made.message.sender = m_self;
    made.message.updates = news(target);
    m_calls[made.id] = {kind, target, to};
    return made;
}

GossipActions Gossip::onReply(GossipCallId id, const GossipReply &reply, TimePoint now)
{
    GossipActions actions;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return actions;
    const Pending pending = found->second;
    m_calls.erase(found);
    const Member *before = find(reply.sender.vm);
    const bool wasLost = before && !before->isPresent();
    take(reply.sender, now, actions);
    for (const Member &claim : reply.updates) {
        const bool wasNews = m_news.count(claim.vm) != 0;
        take(claim, now, actions);
        // The fleet has heard of what a page holds.
        if (pending.kind == CallKind::Page && !wasNews)
            m_news.erase(claim.vm);
    }
    if (pending.kind == CallKind::Indirect)
        finishIndirect(pending.target, reply.isAlive, now, actions);
    if (pending.kind == CallKind::Page && !reply.pageEnd.isEmpty()) {
        // A comparison of lists is one page; a joiner or a healed cut walks over all of them.
        const bool isWalk = wasLost || !before || m_isWalking;
        m_isWalking = isWalk;
        if (isWalk)
            askPage(reply.sender.vm, pending.to, reply.pageEnd, actions);
    } else if (pending.kind == CallKind::Page) {
        m_isWalking = false;
    }
    return actions;
}

GossipActions Gossip::onFailure(GossipCallId id, TimePoint now)
{
    GossipActions actions;
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return actions;
    const Pending pending = found->second;
    m_calls.erase(found);
    if (pending.kind == CallKind::Direct && m_indirect.count(pending.target) == 0) {
        askHelpers(pending.target, actions);
        if (m_indirect.count(pending.target) == 0)
            suspect(pending.target, now, actions);
    }
    if (pending.kind == CallKind::Indirect)
        finishIndirect(pending.target, false, now, actions);
    if (pending.kind == CallKind::Page)
        m_isWalking = false;
    return actions;
}

void Gossip::askHelpers(const VmName &target, GossipActions &actions)
{
    std::vector<VmName> helpers = withState(true);
    std::erase_if(helpers, [&](const VmName &vm) {
        return vm == target || find(vm)->state == MemberState::Suspect;
    });
    std::shuffle(helpers.begin(), helpers.end(), m_generator);
    helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(m_settings.helpers)));
    for (const VmName &helper : helpers) {
        GossipCall asked = call(CallKind::Indirect, target, find(helper)->peers,
                                m_settings.indirectTimeout);
        asked.message.probeTarget = target;
        actions.push_back(std::move(asked));
    }
    if (!helpers.empty())
        m_indirect[target] = static_cast<int>(helpers.size());
}

void Gossip::finishIndirect(const VmName &target, bool isAlive, TimePoint now,
                            GossipActions &actions)
{
    const auto found = m_indirect.find(target);
    if (found == m_indirect.end())
        return;
    if (isAlive) {
        m_indirect.erase(found);
        return;
    }
    if (--found->second > 0)
        return;
    m_indirect.erase(found);
    suspect(target, now, actions);
}

GossipActions Gossip::onMessage(const GossipMessage &message, TimePoint now)
{
    GossipActions actions;
    take(message.sender, now, actions);
    for (const Member &claim : message.updates)
        take(claim, now, actions);
    return actions;
}

GossipReply Gossip::answer(const GossipMessage &message)
{
    GossipReply reply;
    reply.sender = m_self;
    if (!message.wantsPage || message.digest == digest()) {
        reply.updates = news(message.sender.vm);
        return reply;
    }
    reply.updates = page(message.pageAfter, reply.pageEnd);
    const Member *of = find(message.sender.vm);
    if (of && of->state != MemberState::Alive)
        reply.updates.push_back(*of);
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
    std::vector<VmName> others = withState(true);
    std::shuffle(others.begin(), others.end(), m_generator);
    others.resize(std::min(others.size(), LeaveNotices));
    GossipActions actions;
    for (const VmName &vm : others)
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
    for (const VmName &vm : withState(true))
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
