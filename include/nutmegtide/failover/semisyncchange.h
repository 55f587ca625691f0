#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/failover/fencereport.h"
#include "nutmegtide/session/sessionstatement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtide {

// A backend server of the group whose primary is being changed.
struct ChangeServer
{
    ServerId server;
    bool isLeaving = false;
    // It no longer exists, and no other server is known to have all that it received.
    bool isDeparted = false;
};

// Why the primary is changed.
enum class ChangeReason {
    Lost, // failover: the primary can't be used, or it isn't known which server leads
    Moved, // switchover: the primary works, but is leaving or unusable for parts of the fleet
};

// The structs up to OrderPromotion are the actions that a change requests from its caller. Each
// answer is passed back to SemiSyncChange.

// Ask the server for its role, term and log position.
struct QueryStatus
{
    ServerId server;
};

// Stop replication on the server until it is resumed or promoted.
struct HoldServer
{
    ServerId server;
    Term term = 0;
};

// Make the server a replica if it is primary of a term below `term`.
struct DemoteServer
{
    ServerId server;
    Term term = 0;
};

// Let a held server replicate again.
struct ResumeServer
{
    ServerId server;
};

// Write to the control log that the server may be promoted. The entry's index is the fencing token,
// which is above all tokens reserved before.
struct ReserveToken
{
    ServerId server;
};

// Order the platform to promote the server.
struct OrderPromotion
{
    ServerId server;
    std::uint64_t token = 0;
};

using SemiSyncChangeAction = std::variant<QueryStatus, HoldServer, DemoteServer, ResumeServer,
                                          ReserveToken, OrderPromotion>;
using SemiSyncChangeActions = std::vector<SemiSyncChangeAction>;

// The platform's answer to an order to promote a server.
enum class PromotionOutcome {
    Accepted,
    OutOfDate, // a higher fencing token was used, or the server isn't running
    Unknown, // no answer; the order may be carried out later
    Refused, // not carried out; may be ordered again
};

// One change of primary of a group with semi-synchronous replication: the primary acknowledges a
// commit once one replica has received it, and a server becomes primary by an order to the
// platform.
//
// An acknowledged commit is in the logs of its primary and of at least one replica. So once all
// servers but one are held or demoted, no commit of the old primary can be acknowledged any more,
// and the highest position among them covers every commit that was. A lost primary is replaced by
// the server with that position. A working primary is moved without a pause in commits: all
// replicas but the chosen one are held, so that once the chosen one has caught up with them its log
// contains every commit that is acknowledged.
//
// An order without an answer may be carried out later, and an accepted one takes effect only after
// the time of a promotion. So no server is resumed before a later token has been used, and no
// server other than the target of an open order is ordered, the present primary included, until the
// time in which the platform could carry that order out has passed. A server that takes the address
// of one that no longer exists counts as not fenced until it is known, and servers that join are
// fenced like the others. A departed server that isn't covered (see DepartureTracker) can't be
// fenced, so all others have to be, the old primary included: it may be the only one left with an
// acknowledged commit. While an order may be carried out, replicas that aren't held are held as
// soon as they answer, and a lost primary that answers is demoted: it may acknowledge through a
// server that isn't known yet. The chosen server's own status often shows sooner than the
// platform's answer that an order was carried out. If neither arrives in time, the promotion is
// ordered again with a higher token.
//
//   SemiSyncChange change(ChangeReason::Lost, servers);
//   perform(change.start(now));
//   perform(change.onStatus(server, status, now));
//   perform(change.tick(now)); // at change.wakeAt()
class SemiSyncChange
{
public:
    // `from` is the primary to move away from; empty for a lost one.
    SemiSyncChange(ChangeReason reason, std::vector<ChangeServer> servers, ServerId from = {});

    // Sets the servers whose promotion earlier changes ordered and the platform may still carry
    // out. The latest of these orders was made no later than `orderedBy`. Call it before start().
    void setOpenOrders(std::set<ServerId> servers, TimePoint orderedBy);
    // Returns whether an order may still be carried out now that the change is over.
    bool hasOpenOrders() const { return !m_openOrders.empty(); }
    // Returns whether the fence is complete and the new primary is chosen. From then on no server
    // may be recorded, since the choice doesn't cover what it acknowledges.
    bool hasChosen() const;

    // Returns whether the choice of a server rests on holds, or may do so without asking for new
    // ones, or whether an order may still be carried out.
    bool reliesOnHolds() const;

    // Begins the change and returns its first actions.
    SemiSyncChangeActions start(TimePoint now);
    // The answer to QueryStatus, HoldServer, DemoteServer or ResumeServer.
    SemiSyncChangeActions onStatus(const ServerId &server, const ServerReplicationStatus &status,
                                   TimePoint now);
    // The server didn't answer or couldn't be connected to.
    SemiSyncChangeActions onUnreachable(const ServerId &server, TimePoint now);
    // The server runs, but accepts no connection or command at present.
    SemiSyncChangeActions onOverloaded(const ServerId &server, TimePoint now);
    // The server no longer exists, and neither does its log: another server answers at its address.
    // Until that one is known, it may receive from the old primary without being held.
    SemiSyncChangeActions onGone(const ServerId &server, TimePoint now);
    // A server of the group became known. The change starts over with it, unless the promotion is
    // already ordered: then it is only held. Does nothing for a server that the change covers.
    SemiSyncChangeActions onJoined(const ChangeServer &server, TimePoint now);
    // The server has departed, and it isn't known that another one has all that it received. Also
    // for a gone one whose address a server of another group uses.
    SemiSyncChangeActions onDeparted(const ServerId &server, TimePoint now);
    // Another server has all that the departed one received.
    void onCovered(const ServerId &server);
    // Returns the departed servers that may have held commits which no fenced server has.
    std::vector<ServerId> uncoveredDepartures() const;
    // A server of the group uses the gone one's address and has its log; onJoined() was called with
    // it before.
    void onSuccessorKnown(const ServerId &gone) { m_unknownSuccessors.erase(gone); }
    // The answers to ReserveToken.
    SemiSyncChangeActions onToken(std::uint64_t token, TimePoint now);
    SemiSyncChangeActions onTokenFailed(TimePoint now);
    // The answer to OrderPromotion. Ignored unless `token` is the latest one.
    SemiSyncChangeActions onPromotionAnswered(std::uint64_t token, PromotionOutcome outcome,
                                              TimePoint now);
    // Handles timeouts and repeated queries. Call it at wakeAt().
    SemiSyncChangeActions tick(TimePoint now);

    // Returns when tick() is due next; TimePoint::max() once the change is over.
    TimePoint wakeAt() const { return m_wakeAt; }
    bool isOver() const { return m_step == Step::Over; }
    // Returns whether a server leads, though an order for it may still take effect.
    bool isSettling() const { return m_step == Step::Settling; }
    // Returns the server that leads in the end; empty if the change had no result.
    const ServerId &primary() const { return m_result; }
    // Returns the term in which primary() leads; 0 without one.
    Term primaryTerm() const;
    const ServerId &chosen() const { return m_chosen; }
    Term term() const { return m_term; }
    // Returns what the change waits for, or why it ended, for the log.
    const std::string &why() const { return m_why; }
    // Returns whether the server belongs to the group, as far as this change knows.
    bool covers(const ServerId &server) const;
    // Returns what the choice of chosen() rests on, for the log.
    FenceReport fenceReport() const;
    // Returns the name of the present step, for the log.
    std::string_view stepName() const;

private:
    enum class Step {
        Probing,
        Holding,
        CatchingUp,
        Reserving,
        Ordering,
        Confirming,
        Settling, // until the order of the present primary has taken effect
        Waiting, // before the next attempt
        Over,
    };

    struct ServerProgress
    {
        ServerReplicationStatus status; // its latest status
        bool isAnswered = false; // in the present step
        bool isUnreachable = false;
        bool isOverloaded = false;
        bool isAnswerDue = false; // it was asked, held or demoted while an order may be carried out
        bool isGuarded = false; // it was held or demoted since the last tick
    };

    // How many servers a set of answering or fenced servers lacks.
    struct Missing
    {
        std::size_t present = 0;
        std::size_t departed = 0;
    };

    void enter(Step step, TimePoint now, Duration timeout);
    void probe(TimePoint now);
    void shortenProbe(TimePoint now);
    void evaluateProbe(TimePoint now);
    void holdForLost(TimePoint now);
    void holdForMove(TimePoint now);
    void evaluateHolds(TimePoint now);
    bool hasAllAcknowledged(const ServerId &server) const;
    bool isPreferred(const ServerId &server, const ServerId &other) const;
    void evaluateCatchingUp(TimePoint now);
    bool canMoveGracefully(const ServerId &primary, bool isAnyHeld) const;
    bool mustWaitForOrders(const ServerId &chosen) const;
    void reserve(TimePoint now);
    void order(TimePoint now);
    void confirm(TimePoint now);
    void settle(TimePoint now);
    void resumeOthers();
    void queryChosen(TimePoint now);
    void finishPromoted(TimePoint now);
    bool isOnlyOpenOrder(const ServerId &server) const;
    void retryLater(const std::string &why, TimePoint now);
    void finish(const std::string &why);
    void queryAll(TimePoint now);
    void hold(const ServerId &server);
    bool isFenced(const ServerId &server) const;
    bool isLeaving(const ServerId &server) const;
    std::optional<ServerId> reachablePrimary() const;
    std::optional<ServerId> bestReplica(const ServerId &primary) const;
    bool hasEveryServerResponded() const;
    // Returns whether servers are being held, but no promotion is ordered yet.
    bool isBeforeOrder() const;
    bool isDeparted(const ServerId &server) const;
    bool hasDepartures() const;
    // Counts the servers for which `isCounted` isn't true.
    Missing missing(bool (SemiSyncChange::*isCounted)(const ServerId &) const) const;
    bool isAnswering(const ServerId &server) const { return m_progress.at(server).isAnswered; }
    // Returns whether every acknowledged commit is on a server other than the missing ones, as far
    // as any server can still show it.
    bool isSafeWithout(const Missing &missing) const;
    std::string describeMissing(const Missing &missing) const;
    // Returns the number of servers that may have to be fenced, including unknown ones.
    std::size_t groupSize() const { return m_servers.size() + m_unknownSuccessors.size(); }
    // Returns whether a promotion may be carried out that would depose the present primary.
    bool mustGuardOrders() const;
    // Asks, holds or demotes each server that isn't fenced while an order may be carried out.
    void guardOrders();
    void guard(const ServerId &server);
    bool isPromotionOf(const ServerId &server) const;
    SemiSyncChangeActions takeActions();

    const ChangeReason m_reason;
    std::vector<ChangeServer> m_servers;
    const ServerId m_from;
    Step m_step = Step::Probing;
    std::set<ServerId> m_unknownSuccessors; // by the gone server whose address they use
    std::map<ServerId, ServerProgress> m_progress;
    std::set<ServerId> m_demoted;
    TimePoint m_coverUntil {}; // how long a graceful move waits for departures to be covered
    Term m_term = 0;
    ServerId m_chosen;
    ServerId m_result;
    LogPosition m_target; // the position that the chosen server must reach
    std::uint64_t m_token = 0;
    bool m_isGraceful = false;
    // It led before the order, so its own status doesn't show whether the order was carried out.
    bool m_wasChosenPrimary = false;
    bool m_isRepeated = false; // the latest order follows another one for the same server
    bool m_isAccepted = false; // the latest order
    std::set<ServerId> m_openOrders; // servers whose promotion may still be carried out
    TimePoint m_orderedAt {}; // the latest of these orders
    TimePoint m_holdingSince {}; // when the holds of this attempt began
    TimePoint m_deadline {}; // of the present step
    TimePoint m_wakeAt {};
    SemiSyncChangeActions m_actions;
    std::string m_why;
};

} // namespace nutmegtide
