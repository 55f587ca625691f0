#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace nutmegtide::test {

// The rules by which control and the entry VMs act; all are false for those of commit 359322a.
struct LostCommitRules
{
    // A server that departed or is gone counts as a missing one until it is covered: the primary
    // told a position afterwards, and another server has received it.
    bool keepsDeparted = false;
    // Only recorded servers cover a departed one.
    bool coversByRecorded = false;
    // Servers that become known after the order are held, and a reachable old primary is demoted.
    bool holdsJoined = false;
    // No server is recorded while a promotion is ordered or may still be carried out.
    bool recordsWithoutOrders = false;
    // A caller gets the answer once a recorded server other than the writer has the commit.
    bool confirms = false;
    // The writer, which executed the commit, has to be recorded too.
    bool confirmsRecordedWriter = false;
    // The present primary is ordered, to call a change off, only once no older order of another
    // server can be carried out any more.
    bool callsOffAfterOrders = false;
    // Only recorded servers are promoted.
    bool promotesRecorded = false;
    // What a server says counts for a commit only on a connection that stood at a moment at which
    // no change of primary relied on holds.
    bool vouchesConnections = false;
};

// What may happen, and how often.
struct LostCommitBounds
{
    int commits = 1;
    int tokens = 1;
    int joins = 0;
    int departures = 0;
    int cuts = 0;
    int crashes = 0; // of the primary, with its return
    int restarts = 0; // of a replica, which end its hold
    int serverCrashes = 0; // of any server, each with its return and its log
    bool restartsEndDemotions = false; // a demoted primary that starts again leads again
    int leaderChanges = 0;
    bool startsUnderNewId = false; // a server that starts again does so as a new one
    bool departsBeforeExit = false; // control may hear of a departure before the server ends
    // Control may rely on holds from before the last moment at which an older order is carried out.
    bool holdsDuringOlderOrders = false;
    bool isJoinerCutOff = true; // the joiner is on the primary's side of the cut
};

constexpr std::size_t ModelServers = 4; // the last one joins
constexpr std::uint8_t NoServer = ModelServers;

struct ModelServer
{
    std::uint8_t exists = 0;
    std::uint8_t up = 0;
    std::uint8_t log = 0; // bit i: has commit i
    std::uint8_t held = 0;
    std::uint8_t known = 0; // to the control leader, by an announcement
    std::uint8_t recorded = 0; // under its present id
    std::uint8_t ghost = 0; // an id that it had is recorded, and no server has it any more
    std::uint8_t told = 0; // entry VMs take its present id for recorded
    std::uint8_t member = 0; // of the present change
    std::uint8_t fenced = 0; // as the present change knows
    std::uint8_t position = 0; // that it told when it was fenced
    std::uint8_t vouched = 0; // control vouched for the callers' connections to its present run

    bool isPresent() const { return exists != 0 && up != 0; }
    bool operator==(const ModelServer &) const = default;
};

enum class ModelPhase : std::uint8_t { Idle, Holding, Ordered };
enum class ModelCut : std::uint8_t { Before, On, Healed };

// The state of the group, of the platform, of control and of the callers. Bytes only, so that
// states are compared and hashed as such. The logs are prefixes of the present primary's, since a
// promotion rolls the others back, and commits are numbered as they are executed; so the log's bits
// compare as positions do.
struct LostCommitState
{
    std::array<ModelServer, ModelServers> servers {};
    std::uint8_t primary = 0;
    ModelCut cut = ModelCut::Before;
    ModelPhase phase = ModelPhase::Idle;
    std::uint8_t chosen = NoServer;
    std::array<std::uint8_t, 2> orders {}; // by token: 1 + the server while it may be carried out
    std::uint8_t tokens = 0;
    std::uint8_t highestToken = 0; // that the platform has seen; tokens count from 1
    std::uint8_t hasOpenOrders = 0; // in the control log
    std::uint8_t commits = 0;
    std::uint8_t acknowledged = 0;
    std::uint8_t delivered = 0;
    std::array<std::uint8_t, 2> writers {};
    std::uint8_t vouchedWriters = 0; // bit i: the writer of commit i was vouched for
    std::uint8_t demoted = NoServer; // the former primary, until another server is promoted
    std::uint8_t crashes = 0;
    std::uint8_t restarts = 0;
    std::uint8_t serverCrashes = 0;
    std::uint8_t lastCrashed = NoServer; // of these
    std::uint8_t leaderChanges = 0;
    std::uint8_t hasDeparted = 0;
    std::uint8_t isDepartureKnown = 0;
    std::uint8_t coverPosition = 0; // that the primary told since the departure, plus 1
    std::uint8_t isLost = 0;
    std::uint8_t holders = 0; // bit i: server i had the commit that was lost

    bool operator==(const LostCommitState &) const = default;
};

// One group with semi-synchronous replication, its platform, control and callers, as a set of steps
// that lead from a state to others. Times are left out: whatever may happen may happen at any
// moment, except that no other server is ordered while an order may still be carried out.
//
//   LostCommitModel model(rules, bounds);
//   model.visitNext(model.first(), [](const LostCommitState &next, const char *step, std::size_t
//   at) {});
class LostCommitModel
{
public:
    // The step's name, and the server or number that it is about.
    using Visitor = std::function<void(const LostCommitState &, const char *, std::size_t)>;

    LostCommitModel(const LostCommitRules &rules, const LostCommitBounds &bounds)
        : m_rules(rules)
        , m_bounds(bounds)
    { }

    LostCommitState first() const;
    void visitNext(const LostCommitState &state, const Visitor &visit) const;

private:
    void writeAndAnswer(const LostCommitState &state, const Visitor &visit) const;
    void receive(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void disturb(const LostCommitState &state, const Visitor &visit) const;
    void crash(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void startAgain(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void vouch(const LostCommitState &state, const Visitor &visit) const;
    void depart(const LostCommitState &state, const Visitor &visit) const;
    void cover(const LostCommitState &state, const Visitor &visit) const;
    void record(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void announce(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void fence(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void change(const LostCommitState &state, const Visitor &visit) const;
    void order(const LostCommitState &state, std::size_t at, const Visitor &visit) const;
    void carryOut(const LostCommitState &state, std::size_t token, const Visitor &visit) const;

    bool isBeside(std::size_t server) const;
    bool isReached(const LostCommitState &state, std::size_t server) const;
    bool isConnected(const LostCommitState &state, std::size_t one, std::size_t other) const;
    bool isConfirmed(const LostCommitState &state, std::size_t commit) const;
    bool mayCover(const ModelServer &server) const;
    bool mayOrder(const LostCommitState &state, std::size_t server) const;
    static void promote(LostCommitState &state, std::size_t at);
    static void restartHolds(LostCommitState &state);
    static void endChange(LostCommitState &state);

    const LostCommitRules m_rules;
    const LostCommitBounds m_bounds;
};

} // namespace nutmegtide::test
