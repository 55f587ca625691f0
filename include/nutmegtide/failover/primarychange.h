#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/charts/chart.h"
#include "nutmegtide/events/event.h"
#include "nutmegtide/failover/groupledger.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtide {

// How long a change of primary waits in each of its steps.
struct ChangeTimings
{
    std::chrono::milliseconds probe {1'000};
    std::chrono::milliseconds fence {2'000};
    std::chrono::milliseconds promote {2'000};
    std::chrono::milliseconds confirm {3'000};
    std::chrono::milliseconds publish {5'000};
    std::chrono::milliseconds retry {200}; // from a failure to the next attempt
    std::chrono::milliseconds resend {100}; // to servers that have not answered yet
};

struct ChangeRequest
{
    DatabaseName database;
    std::string owner; // the change's own name, unique in the fleet
    std::optional<ServerId> suspect; // the primary that homes can't use; nothing for a request
    std::vector<ServerId> voters; // to have from now on; empty to keep them
};

// What a change of primary wants done. Each answer goes back into PrimaryChange.
struct ProbeServer
{
    ServerId server;
};

struct FenceServer
{
    ServerId server;
    Term term = 0;
};

struct PromoteServer
{
    ServerId server;
    Term term = 0;
    std::vector<ServerId> voters;
};

struct FollowServer
{
    ServerId server;
    Term term = 0;
    ServerId primary;
    std::vector<ServerId> voters;
};

// Asks for a position until the server holds the barrier.
struct WatchBarrier
{
    ServerId server;
    Term term = 0;
    LogPosition barrier;
};

struct ProposeGroup
{
    GroupCommand command;
};

struct RecordChangeEvent
{
    EventKind kind = EventKind::PrimaryChangeStarted;
    Term term = 0;
    ServerId server;
    std::string why; // of a failure
};

using ChangeAction = std::variant<ProbeServer, FenceServer, PromoteServer, FollowServer,
                                  WatchBarrier, ProposeGroup, RecordChangeEvent>;
using ChangeActions = std::vector<ChangeAction>;

// One change of primary, or of voters, of one database group. The chart
// primary_change holds its steps; this class gives their events and actions a meaning.
//
// Safety rests on three rules alone. The control log gives each term to one change.
// A majority of the voters (of both sets while a change of voters is pending) is
// fenced at that term before one of them is promoted, and the one with the highest
// log position is chosen. The result is published once a majority of the new voters
// holds the term's barrier durably. No rule needs a clock or a lease.
//
//   PrimaryChange change(charts.chart("primary_change"), timings, request, record);
//   perform(change.start(now));
//   perform(change.onFenced(server, reply, now));
//   perform(change.tick(now)); // at change.wakeAt()
class PrimaryChange
{
public:
    // The chart must outlive the change.
    PrimaryChange(const Chart &chart, ChangeTimings timings, ChangeRequest request,
                  GroupRecord record);

    ChangeActions start(TimePoint now);
    // The suspicion is gone. A change that has reserved a term goes on, since some
    // servers may be fenced already.
    ChangeActions withdraw(TimePoint now);

    // Answers of servers; one that belongs to an earlier attempt is ignored.
    ChangeActions onProbed(const ServerId &server, const PositionReply &reply, TimePoint now);
    ChangeActions onFenced(const ServerId &server, const FenceReply &reply, TimePoint now);
    ChangeActions onPromoted(const ServerId &server, const PromoteReply &reply, TimePoint now);
    ChangeActions onPosition(const ServerId &server, const PositionReply &reply, TimePoint now);
    // A server refused a message of `asked` since it has accepted the higher `term`.
    ChangeActions onStaleTerm(Term asked, Term term, TimePoint now);
    // The proposal was committed, and this is the record after it.
    ChangeActions onCommitted(const GroupCommand &command, const GroupRecord &record, TimePoint now);
    ChangeActions onProposalFailed(const GroupCommand &command, TimePoint now);
    ChangeActions tick(TimePoint now);

    // When tick() is due next; nothing once the change is over.
    std::optional<TimePoint> wakeAt() const;
    bool isOver() const { return m_isStarted && m_chart.state() == "idle"; }
    bool isPublished() const { return m_isPublished; }
    const std::string &state() const { return m_chart.state(); }
    Term term() const { return m_term; }
    const ServerId &chosen() const { return m_chosen; }
    const ChangeRequest &request() const { return m_request; }
    // Returns all that decides on the next step, but for times; equal texts behave alike.
    std::string toText() const;

private:
    using ActionHandler = void (PrimaryChange::*)();
    static const std::map<std::string, ActionHandler> ActionHandlers;

    void fire(const std::string &event, TimePoint now);
    ChangeActions takeActions();
    Duration durationOf(const std::string &setting) const;

    void probeVoters();
    void raiseTerm();
    void reserveTerm();
    void fenceVoters();
    void choosePrimary();
    void promoteChosen();
    void followChosen();
    void awaitBarrier();
    void publishGroup();
    void recordPublished();
    void recordFailed();
    void scheduleRetry();

    void resend();
    void resendTo(const ServerId &server);
    std::set<ServerId> allServers() const;
    std::vector<ServerId> targetVoters() const;
    bool isExcluded(const ServerId &server) const;
    template <typename Predicate>
    bool isMajority(const std::vector<ServerId> &set, const Predicate &holds) const;
    template <typename Predicate>
    bool isMajorityOfOldSets(const Predicate &holds) const;

    ChartInstance m_chart;
    const ChangeTimings m_timings;
    const ChangeRequest m_request;
    GroupRecord m_record;

    TimePoint m_now;
    TimePoint m_enteredAt; // the present state
    TimePoint m_resendAt;
    ChangeActions m_actions;
    std::string m_why; // of the latest failure
    bool m_isStarted = false;
    bool m_isPublished = false;
    bool m_hasReserved = false; // in any attempt

    Term m_term = 0; // of the present attempt
    Term m_highestTerm = 0; // that any server or record has named
    std::map<ServerId, PositionReply> m_probed;
    std::map<ServerId, FenceReply> m_fenced;
    std::set<ServerId> m_barrierHolders; // the barrier
    ServerId m_chosen;
    LogPosition m_barrier;
};

} // namespace nutmegtide
