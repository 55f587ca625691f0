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

struct GossipSettings
{
    Duration probeInterval = 500ms;
    Duration directTimeout = 300ms;
    Duration indirectTimeout = 700ms; // of a probe through a helper
    int helpers = 3; // asked for an indirect probe
    int suspicionRounds = 4; // probe intervals; half as many more for each factor of 10 past 10 VMs
    int retransmits = 3; // of one update, times the binary logarithm of the fleet's size
    std::size_t largestMessage = 256; // bytes of piggybacked updates
    std::size_t pageMembers = 16;
    int compareEvery = 40; // probe intervals between two comparisons of whole lists
    int retryEvery = 10; // probe intervals between two probes of a dead member or an unknown seed
    Duration forgetAfter = 24h; // how long a dead or departed member is remembered
};

struct GossipMessage
{
    Member sender;
    std::vector<Member> updates;
    VmName probeTarget; // the receiver is asked to probe this VM; empty for a direct probe
    bool wantsPage = false;
    VmName pageAfter;
    std::uint64_t digest = 0;
};

struct GossipReply
{
    Member sender;
    bool isAlive = true; // whether the probed VM answered
    std::vector<Member> updates;
    VmName pageEnd; // empty for the last page
};

using GossipCallId = std::uint64_t;

// Sends a message; its outcome comes back by onReply() or onFailure().
struct GossipCall
{
    GossipCallId id = 0;
    Endpoint to;
    GossipMessage message;
    Duration timeout {};
};

enum class MemberChangeKind {
    Joined, // also a return from death, and a restart
    Updated,
    Suspected,
    Died,
    Left,
};

struct MemberChange
{
    MemberChangeKind kind = MemberChangeKind::Joined;
    Member member;
};

using GossipAction = std::variant<GossipCall, MemberChange>;
using GossipActions = std::vector<GossipAction>;

// Membership by gossip (SWIM: Das, Gupta, Motivala, 2002), for one member.
//
// Each interval it probes one member, so its cost does not depend on the
// fleet's size. News travels on probes and their answers. A member that
// neither answers nor is reached through helpers is suspected, and is dead
// unless it refutes that in time with a higher version.
//
//   Gossip gossip(settings, self, seeds, seed);
//   for (const GossipAction &action : gossip.tick(now)) ... // once each interval
//   gossip.onReply(call.id, reply, now, actions);
class Gossip
{
public:
    Gossip(const GossipSettings &settings, Member self, std::vector<Endpoint> seeds,
           std::uint64_t randomSeed);

    // To be called once each probe interval.
    GossipActions tick(TimePoint now);
    GossipActions onReply(GossipCallId id, const GossipReply &reply, TimePoint now);
    GossipActions onFailure(GossipCallId id, TimePoint now);

    // Takes a peer's message. A message with a probe target also needs relay().
    GossipActions onMessage(const GossipMessage &message, TimePoint now);
    // Returns the answer to a message that was taken.
    GossipReply answer(const GossipMessage &message);
    // Returns the probe to make for a peer, nothing for a target that is not known.
    std::optional<GossipCall> relay(const GossipMessage &message);

    void setDraining();
    void setRevision(Revision revision) { m_self.revision = revision; }
    // Tells a few members at once that this one is gone by plan.
    GossipActions leave();

    const Member &self() const { return m_self; }
    // What is known of another member.
    const Member *find(const VmName &vm) const;
    // Alive and suspected members, without this one.
    std::vector<Member> present() const;
    std::size_t presentCount() const;
    Duration suspicionTime() const;
    // Equal for two members that know the same of all present members.
    std::uint64_t digest() const;

private:
    struct KnownMember
    {
        Member member;
        TimePoint since; // of its state
        bool isClaimedDead = false; // by another, of this version, without own signs of it
        bool isAskedDirectly = false; // since it was suspected
        bool isQueriedBeforeDeath = false; // the same, before it is declared dead
    };
    enum class CallKind {
        Direct,
        Indirect,
        Page,
        Notice, // its failure means nothing
    };
    struct PendingCall
    {
        CallKind kind = CallKind::Direct;
        VmName target; // empty for a seed
        Endpoint to;
        VmName helper; // of an indirect probe
    };

    void applyClaim(const Member &claim, TimePoint now, GossipActions &actions);
    void applyClaimAboutSelf(const Member &claim);
    void applyDeathClaim(const Member &claim, KnownMember &known, TimePoint now, GossipActions &actions);
    void changeState(KnownMember &known, MemberState state, TimePoint now, GossipActions &actions);
    void suspect(const VmName &vm, TimePoint now, GossipActions &actions);
    void expireSuspicions(TimePoint now, GossipActions &actions);
    void extendSuspicionsAfterStall(TimePoint now);
    void forgetExpired(TimePoint now);

    void probeNext(GossipActions &actions);
    void sendExtraCall(GossipActions &actions);
    void contactSeeds(GossipActions &actions);
    void contactLostMember(GossipActions &actions);
    void requestPage(const VmName &vm, const Endpoint &to, const VmName &after, GossipActions &actions);
    void startIndirectProbe(const VmName &target, GossipActions &actions);
    std::vector<VmName> chooseHelpers(const VmName &target, std::size_t most);
    GossipCall helperCall(CallKind kind, const VmName &target, const VmName &helper);
    void finishIndirect(const VmName &target, bool isAlive, TimePoint now, GossipActions &actions);
    GossipCall call(CallKind kind, const VmName &target, const Endpoint &to, Duration timeout);
    // Asks the member itself what is true of a claim.
    void queueRecheck(const Member &claim);
    // Tells a few members of the suspicion that ends next, so that one who has heard its refutation
    // can say so.
    void queryBeforeDeath(TimePoint now, GossipActions &actions);
    // Asks a helper to tell a suspected member of it; returns whether there is a helper.
    bool recheckThroughHelper(const Member &suspected, GossipActions &actions);

    // What the sender of the message claims, where this member knows better.
    std::vector<Member> corrections(const GossipMessage &message) const;
    // What the receiver is to be told, beginning with the given claims.
    std::vector<Member> selectUpdates(const VmName &receiver, std::vector<Member> first = {});
    std::vector<Member> page(const VmName &after, VmName &end) const;
    void queueUpdate(const VmName &vm) { m_transmitCounts[vm] = 0; }
    std::vector<VmName> membersByPresence(bool isPresent) const;
    // Present members, drawn at random.
    std::vector<VmName> randomPresent(std::size_t most, const VmName &except = {});
    int retransmitLimit() const;

    const GossipSettings m_settings;
    Member m_self;
    const std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_generator;
    std::map<VmName, KnownMember> m_members;
    std::map<VmName, int> m_transmitCounts; // times that the latest claim of a member was passed on
    std::vector<VmName> m_probeRound; // still to be probed in this round
    std::deque<Member> m_recheckQueue; // doubtful claims
    std::map<GossipCallId, PendingCall> m_calls;
    HelperSelector m_helperSelector;
    std::map<VmName, int> m_pendingIndirect; // helpers that have not answered yet
    GossipCallId m_nextCall = 1;
    std::uint64_t m_ticks = 0;
    std::optional<TimePoint> m_lastTick;
    bool m_isSyncing = false; // a walk over another member's pages is under way
};

} // namespace nutmegtide
