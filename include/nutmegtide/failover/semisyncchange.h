#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/sessionstatement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtide {

// A backend server of the group whose primary is changed.
struct ChangeServer
{
    ServerId server;
    bool isLeaving = false;
};

// Why the primary is changed.
enum class ChangeReason {
    Lost, // it can't be used, or nobody knows which server leads
    Moved, // it works, but it leaves or parts of the fleet can't use it
};

// What a change wants done. Each answer goes back into SemiSyncChange.
struct QueryStatus
{
    ServerId server;
};

// The server receives nothing from now on.
struct HoldServer
{
    ServerId server;
    Term term = 0;
};

struct DemoteServer
{
    ServerId server;
    Term term = 0;
};

struct ResumeServer
{
    ServerId server;
};

// A number above all that were reserved before, from the control log, which keeps that the server
// may be promoted.
struct ReserveToken
{
    ServerId server;
};

struct OrderPromotion
{
    ServerId server;
    std::uint64_t token = 0;
};

using SemiSyncChangeAction = std::variant<QueryStatus, HoldServer, DemoteServer, ResumeServer,
                                        ReserveToken, OrderPromotion>;
using SemiSyncChangeActions = std::vector<SemiSyncChangeAction>;

// What became of an order to promote a server.
enum class PromotionOutcome {
    Accepted,
    OutOfDate, // a higher fencing token was used, or the server doesn't run
    Unknown, // may be carried out later
    Refused, // not carried out; may be asked again
};

// One change of primary of a group in which the primary acknowledges a commit once one replica has
// received it, and servers are made primaries by an order to the platform.
//
// A commit is in the logs of its primary and of at least one replica. So once all servers but
// one are held or demoted, no older commit can be acknowledged any more, and the highest position
// among them holds every commit that was. A lost primary is replaced by the server of that position.
// A primary that works is moved without a gap: all replicas but the chosen one are held, so that
// every commit is in the chosen one's log from the moment at which it has caught up with them.
//
// An order without an answer may be carried out later. So nothing is resumed before a later
// token has been used: also a change that is called off orders the present primary's promotion.
// And no other server is chosen than the one of an open order until that order would have come.
// The chosen server's own word tells sooner than the platform that an order was carried out, and
// where neither says so in time the promotion is ordered again with a higher token.
//
//   SemiSyncChange change(ChangeReason::Lost, servers);
//   perform(change.start(now));
//   perform(change.onStatus(server, standing, now));
//   perform(change.tick(now)); // at change.wakeAt()
class SemiSyncChange
{
public:
    // `from` is the primary that is moved away from; empty for one that is lost.
    SemiSyncChange(ChangeReason reason, std::vector<ChangeServer> servers, ServerId from = {});

    // Earlier changes ordered the promotion of these servers, maybe in vain, and the platform may
    // still carry that out. The last of them was made by `orderedBy`. Before start().
    void setOpenOrders(std::set<ServerId> servers, TimePoint orderedBy);
    // Whether an order may still be carried out now that the change is over.
    bool hasOpenOrders() const { return !m_openOrders.empty(); }

    SemiSyncChangeActions start(TimePoint now);
    // The answer to QueryStatus, HoldServer, DemoteServer or ResumeServer.
    SemiSyncChangeActions onStatus(const ServerId &server, const ServerStanding &standing,
                                   TimePoint now);
    SemiSyncChangeActions onUnreachable(const ServerId &server, TimePoint now);
    // The server lives, but takes no connection or command now.
    SemiSyncChangeActions onOverloaded(const ServerId &server, TimePoint now);
    // The server is no more, and its log with it.
    SemiSyncChangeActions onGone(const ServerId &server, TimePoint now);
    SemiSyncChangeActions onToken(std::uint64_t token, TimePoint now);
    SemiSyncChangeActions onTokenFailed(TimePoint now);
    // The answer to OrderPromotion. One to another token than the latest changes nothing.
    SemiSyncChangeActions onPromotionAnswered(std::uint64_t token, PromotionOutcome outcome, TimePoint now);
    SemiSyncChangeActions tick(TimePoint now);

    TimePoint wakeAt() const { return m_wakeAt; }
    bool isOver() const { return m_step == Step::Over; }
    // The server that leads in the end; empty where the change came to nothing.
    const ServerId &primary() const { return m_result; }
    // In which it leads.
    Term primaryTerm() const;
    const ServerId &chosen() const { return m_chosen; }
    Term term() const { return m_term; }
    // What is waited for, or why it ended, for the log.
    const std::string &why() const { return m_why; }
    std::string_view stepName() const;

private:
    enum class Step {
        Probing,
        Holding,
        CatchingUp,
        Reserving,
        Ordering,
        Confirming,
        Waiting, // before the next attempt
        Over,
    };

    struct ServerProgress
    {
        ServerStanding standing;
        bool isAnswered = false; // in this step
        bool isUnreachable = false;
        bool isOverloaded = false;
    };

    void enter(Step step, TimePoint now, Duration timeout);
    void probe(TimePoint now);
    void shortenProbe(TimePoint now);
    void evaluateProbe(TimePoint now);
    void holdForLost(TimePoint now);
    void holdForMove(TimePoint now);
    void evaluateHolds(TimePoint now);
    bool isPreferred(const ServerId &server, const ServerId &other) const;
    void evaluateCatchingUp(TimePoint now);
    bool canMoveGracefully(const ServerId &primary, bool isAnyHeld) const;
    bool mustWaitForOrders(const ServerId &chosen, TimePoint now) const;
    void reserve(TimePoint now);
    void order(TimePoint now);
    void confirm(TimePoint now);
    void queryChosen(TimePoint now);
    void finishPromoted();
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
    SemiSyncChangeActions takeActions();

    const ChangeReason m_reason;
    std::vector<ChangeServer> m_servers;
    const ServerId m_from;
    Step m_step = Step::Probing;
    std::map<ServerId, ServerProgress> m_progress;
    std::set<ServerId> m_demoted;
    Term m_term = 0;
    ServerId m_chosen;
    ServerId m_result;
    LogPosition m_target; // that the chosen server must have received
    std::uint64_t m_token = 0;
    bool m_isGraceful = false;
    bool m_wasChosenPrimary = false; // before it was ordered, so its own word tells nothing of the order
    std::set<ServerId> m_openOrders; // servers that may still be promoted
    TimePoint m_orderedAt {}; // the latest of these
    TimePoint m_deadline {}; // of the step
    TimePoint m_wakeAt {};
    SemiSyncChangeActions m_actions;
    std::string m_why;
};

} // namespace nutmegtide
