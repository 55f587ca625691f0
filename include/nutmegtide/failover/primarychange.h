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

// How long a change of primary waits in each step before it gives up or resends.
struct ChangeTimings
{
    std::chrono::milliseconds probe {1'000};
    std::chrono::milliseconds fence {2'000};
    std::chrono::milliseconds promote {2'000};
    std::chrono::milliseconds confirm {3'000};
    std::chrono::milliseconds publish {5'000};
    std::chrono::milliseconds retry {200}; // from a failed attempt to the next one
    std::chrono::milliseconds resend {100}; // to servers that haven't answered yet
};

// What to change, and on whose behalf.
struct ChangeRequest
{
    DatabaseName database;
    std::string owner; // the id of this change, unique in the fleet
    std::optional<ServerId> suspect; // the primary that homes can't use; none if an operator asks
    std::vector<ServerId> voters; // the new voters; empty to keep the present ones
};

// The actions that a change requests from its caller. Each answer is passed back to PrimaryChange.
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

// Ask for the server's position until it holds the barrier.
struct WatchBarrier
{
    ServerId server;
    Term term = 0;
    LogPosition barrier;
};

// Propose the command to the control log.
struct ProposeGroup
{
    GroupCommand command;
};

// Write an event about the change to the event log.
struct RecordChangeEvent
{
    EventKind kind = EventKind::PrimaryChangeStarted;
    Term term = 0;
    ServerId server;
    std::string why; // the reason of a failure
};

using ChangeAction = std::variant<ProbeServer, FenceServer, PromoteServer, FollowServer,
                                  WatchBarrier, ProposeGroup, RecordChangeEvent>;
using ChangeActions = std::vector<ChangeAction>;

// One change of the primary, or of the voters, of one database group. The chart primary_change
// defines the steps; this class implements their events and actions.
//
// Safety rests on three rules. The control log assigns each term to one change. A majority of the
// voters (of both sets while a change of voters is pending) is fenced at that term before one of
// them is promoted, and the one with the highest log position is chosen. The result is published
// once a majority of the new voters holds the term's barrier durably. No rule depends on a clock or
// a lease.
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

    // Begins the change and returns its first actions.
    ChangeActions start(TimePoint now);
    // The primary is no longer suspected. Ends the change, unless it has already reserved a term:
    // some servers may be fenced by then, so it has to be completed.
    ChangeActions withdraw(TimePoint now);

    // Answers of servers. Those that belong to an earlier attempt are ignored.
    ChangeActions onProbed(const ServerId &server, const PositionReply &reply, TimePoint now);
    ChangeActions onFenced(const ServerId &server, const FenceReply &reply, TimePoint now);
    ChangeActions onPromoted(const ServerId &server, const PromoteReply &reply, TimePoint now);
    ChangeActions onPosition(const ServerId &server, const PositionReply &reply, TimePoint now);
    // A server refused a message of term `asked` because it has accepted the higher `term`.
    ChangeActions onStaleTerm(Term asked, Term term, TimePoint now);
    // The proposal was committed; `record` is the group's record after it.
    ChangeActions onCommitted(const GroupCommand &command, const GroupRecord &record, TimePoint now);
    ChangeActions onProposalFailed(const GroupCommand &command, TimePoint now);
    // Handles timeouts and resends. Call it at wakeAt().
    ChangeActions tick(TimePoint now);

    // Returns when tick() is due next, or nothing once the change is over.
    std::optional<TimePoint> wakeAt() const;
    bool isOver() const { return m_isStarted && m_chart.state() == "idle"; }
    bool isPublished() const { return m_isPublished; }
    const std::string &state() const { return m_chart.state(); }
    // Returns the term of the present attempt.
    Term term() const { return m_term; }
    const ServerId &chosen() const { return m_chosen; }
    const ChangeRequest &request() const { return m_request; }
    // Returns the state that determines the next step, except for times: changes with equal texts
    // behave alike. Used by tests to recognize states.
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
    TimePoint m_enteredAt; // when the present state was entered
    TimePoint m_resendAt;
    ChangeActions m_actions;
    std::string m_why; // the reason of the latest failure
    bool m_isStarted = false;
    bool m_isPublished = false;
    bool m_hasReserved = false; // in any attempt

    Term m_term = 0; // of the present attempt
    Term m_highestTerm = 0; // of all servers and records seen
    std::map<ServerId, PositionReply> m_probed;
    std::map<ServerId, FenceReply> m_fenced;
    std::set<ServerId> m_barrierHolders; // servers that hold the barrier durably
    ServerId m_chosen;
    LogPosition m_barrier;
};

} // namespace nutmegtide
