#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/fleet/helperselector.h"
#include "nutmegtide/fleet/member.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>

namespace nutmegtide {

// The intervals and limits of the gossip protocol.
struct GossipSettings
{
    Duration probeInterval = 500ms; // between two calls of Gossip::tick()
    Duration directTimeout = 300ms; // of a direct probe
    Duration indirectTimeout = 700ms; // of a probe through a helper, and of a page request
    int helpers = 3; // members asked for an indirect probe
    // Time to refute a suspicion, in probe intervals. Half as many are added for each factor of 10
    // in the number of members beyond 10.
    int suspicionRounds = 4;
    int retransmits = 3; // of one update, times the binary logarithm of the number of members
    std::size_t largestMessage = 256; // bytes of piggybacked updates
    std::size_t pageMembers = 16; // members in one page of a member list
    int compareEvery = 40; // probe intervals between two comparisons of member lists
    int retryEvery = 10; // probe intervals between two probes of a dead member or an unknown seed
    Duration forgetAfter = 24h; // how long a dead or departed member is kept
};

// A probe, a request for an indirect probe, or a request for a page of the member list.
struct GossipMessage
{
    Member sender;
    std::vector<Member> updates;
    VmName probeTarget; // the VM that the receiver is asked to probe; empty for a direct probe
    bool wantsPage = false; // the receiver answers with a page if its digest differs
    VmName pageAfter; // the page begins after this VM; empty for the first page
    std::uint64_t digest = 0; // of the sender's member list; for page requests only
};

// The answer to a GossipMessage.
struct GossipReply
{
    Member sender;
    bool isAlive = true; // whether the probed VM answered
    std::vector<Member> updates;
    VmName pageEnd; // the last VM of the page; empty for the last page
};

using GossipCallId = std::uint64_t;

// Asks the caller to send a message and to report the outcome by onReply() or onFailure().
struct GossipCall
{
    GossipCallId id = 0;
    Endpoint to;
    GossipMessage message;
    Duration timeout {};
};

// How a member changed.
enum class MemberChangeKind {
    Joined, // also when a dead member returns or a member restarts
    Updated,
    Suspected,
    Died,
    Left,
};

// Tells the caller of a change in the membership.
struct MemberChange
{
    MemberChangeKind kind = MemberChangeKind::Joined;
    Member member;
};

using GossipAction = std::variant<GossipCall, MemberChange>;
using GossipActions = std::vector<GossipAction>;

// Membership by gossip for one member, after the SWIM protocol (Das, Gupta, Motivala, 2002).
//
// In each interval a member probes one other member, so its cost doesn't depend on
// the number of members. Updates travel on probes and their answers. A member that
// answers neither directly nor through helpers is suspected, and is declared dead
// unless it refutes the suspicion in time with a higher version.
//
// The methods return calls to make and changes to report:
//
//   Gossip gossip(settings, self, seeds, seed);
//   for (const GossipAction &action : gossip.tick(now)) ... // once each interval
//   actions = gossip.onReply(call.id, reply, now);
class Gossip
{
public:
    Gossip(const GossipSettings &settings, Member self, std::vector<Endpoint> seeds,
           std::uint64_t randomSeed);

    // To be called once each probe interval.
    GossipActions tick(TimePoint now);
    // Take the outcome of a call. An unknown id is ignored.
    GossipActions onReply(GossipCallId id, const GossipReply &reply, TimePoint now);
    GossipActions onFailure(GossipCallId id, TimePoint now);

    // Takes a peer's message. For a message with a probe target, also call relay().
    GossipActions onMessage(const GossipMessage &message, TimePoint now);
    // Returns the answer to a message that was passed to onMessage().
    GossipReply answer(const GossipMessage &message);
    // Returns the probe to send on behalf of a peer; nothing if the target is unknown.
    std::optional<GossipCall> relay(const GossipMessage &message);

    // Marks this member as draining, which the next messages carry.
    void setDraining();
    // Sets the configuration revision in force here, which the next messages carry.
    void setRevision(Revision revision) { m_self.revision = revision; }
    // Tells a few members at once that this member stops as planned.
    GossipActions leave();

    const Member &self() const { return m_self; }
    // The latest record of another member, null if it is unknown.
    const Member *find(const VmName &vm) const;
    // Alive and suspected members, without this one, and their number.
    std::vector<Member> present() const;
    std::size_t presentCount() const;
    // How long a member stays suspected before it is declared dead.
    Duration suspicionTime() const;
    // A hash of the present members' versions; equal for members with equal lists.
    std::uint64_t digest() const;

private:
    struct KnownMember
    {
        Member member;
        TimePoint since; // when its state began
        bool isClaimedDead = false; // another member declared this version dead; not confirmed here
        bool isAskedDirectly = false; // it was probed directly since it was suspected
        bool isQueriedBeforeDeath = false; // queryBeforeDeath() has handled this suspicion
    };
    enum class CallKind {
        Direct,
        Indirect,
        Page,
        Notice, // its failure has no consequences
    };
    struct PendingCall
    {
        CallKind kind = CallKind::Direct;
        VmName target; // empty for a seed of unknown name
        Endpoint to;
        VmName helper; // of a probe through a helper, else empty
    };

    void applyClaim(const Member &claim, TimePoint now, GossipActions &actions);
    void applyClaimAboutSelf(const Member &claim);
    void applyDeathClaim(const Member &claim, KnownMember &known, TimePoint now,
                         GossipActions &actions);
    void changeState(KnownMember &known, MemberState state, TimePoint now, GossipActions &actions);
    void suspect(const VmName &vm, TimePoint now, GossipActions &actions);
    void expireSuspicions(TimePoint now, GossipActions &actions);
    void extendSuspicionsAfterStall(TimePoint now);
    void forgetExpired(TimePoint now);

    void probeNext(GossipActions &actions);
    void sendExtraCall(GossipActions &actions);
    void contactSeeds(GossipActions &actions);
    void contactLostMember(GossipActions &actions);
    void requestPage(const VmName &vm, const Endpoint &to, const VmName &after,
                     GossipActions &actions);
    void startIndirectProbe(const VmName &target, GossipActions &actions);
    std::vector<VmName> chooseHelpers(const VmName &target, std::size_t most);
    GossipCall helperCall(CallKind kind, const VmName &target, const VmName &helper);
    void finishIndirect(const VmName &target, bool isAlive, TimePoint now, GossipActions &actions);
    GossipCall call(CallKind kind, const VmName &target, const Endpoint &to, Duration timeout);
    // Queues a probe that asks the member itself whether the claim is true.
    void queueRecheck(const Member &claim);
    // Tells a few members of the suspicion that expires next, so that one that knows of its
    // refutation can reply with it.
    void queryBeforeDeath(TimePoint now, GossipActions &actions);
    // Asks a helper to probe a suspected member; returns whether there is a helper.
    bool recheckThroughHelper(const Member &suspected, GossipActions &actions);

    // Newer records for outdated claims in the message.
    std::vector<Member> corrections(const GossipMessage &message) const;
    // Chooses the updates to piggyback on a message, beginning with the given claims.
    std::vector<Member> selectUpdates(const VmName &receiver, std::vector<Member> first = {});
    // A page of present members after the given one; sets `end` unless it is the last page.
    std::vector<Member> page(const VmName &after, VmName &end) const;
    void queueUpdate(const VmName &vm) { m_transmitCounts[vm] = 0; }
    // Present members or, for false, dead ones. Departed members are in neither list.
    std::vector<VmName> membersByPresence(bool isPresent) const;
    // Present members in random order, at most this many.
    std::vector<VmName> randomPresent(std::size_t most, const VmName &except = {});
    // How often one update is passed on.
    int retransmitLimit() const;

    const GossipSettings m_settings;
    Member m_self;
    const std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_generator;
    std::map<VmName, KnownMember> m_members;
    std::map<VmName, int> m_transmitCounts; // how often each queued update was passed on
    std::vector<VmName> m_probeRound; // members still to be probed in this round
    std::deque<Member> m_recheckQueue; // claims to be confirmed with the member itself
    std::map<GossipCallId, PendingCall> m_calls;
    HelperSelector m_helperSelector;
    std::map<VmName, int> m_pendingIndirect; // by target: helpers that have not answered yet
    GossipCallId m_nextCall = 1;
    std::uint64_t m_ticks = 0;
    std::optional<TimePoint> m_lastTick;
    bool m_isSyncing = false; // all pages of another member's list are being fetched
};

} // namespace nutmegtide
