#pragma once

#include "nutmegtide/fleet/connectionbudget.h"
#include "nutmegtide/fleet/groupstatus.h"
#include "nutmegtide/statement/leadershipproof.h"
#include "nutmegtide/statement/readrouter.h"
#include "nutmegtide/statement/replicaage.h"
#include "nutmegtide/statement/writequorum.h"
#include "serve/backendclient.h"
#include "serve/settingssource.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace nutmegtide {

// What a home proxy may use of one backend server.
struct ServerCapacity
{
    int slots = 0; // announced
    int connections = 0; // that this process may hold
    int connectionsInUse = 0;
};

// One database group at a home proxy: what is known of its servers, the
// connections to them and the writes that wait for their majority. Each server
// has one watcher thread, whose long poll serves every waiting write.
class HomeGroup
{
public:
    // `onSight` is called when a message has changed the sight; it must not call back.
    HomeGroup(HomeRunId ownRun, const SettingsSource &settings, std::function<void()> onSight);
    ~HomeGroup();
    HomeGroup(const HomeGroup &) = delete;
    HomeGroup &operator=(const HomeGroup &) = delete;

    // Takes an announcement and returns whether it changed the term or the primary.
    bool observe(const Announcement &announcement);

    // Takes what an executed statement says of its server.
    void observeAnswer(const ServerId &server, const ExecuteReply &reply, TimePoint sentAt);
    void observeRefusal(const ServerId &server);
    // Takes the higher term that a refusal names.
    void observeTerm(const ServerId &server, Term term);

    Term term() const;
    std::optional<ServerId> primary() const;
    bool isKnown() const;

    // The group as the read router needs it.
    GroupSnapshot snapshot() const;
    // The group for status and for reports to control.
    std::map<ServerId, GroupServer> servers() const;
    // What control and the time line are told at once when it changes.
    GroupStatus sight() const;
    // The moment at which silence alone changes the sight.
    TimePoint statusChangesAt() const;

    // Waits until a majority has confirmed the leadership within the detection
    // time, asking the voters at once where it is not known. Returns false after
    // the wait.
    bool confirmLeadership(std::chrono::milliseconds wait);

    // Waits until a majority has confirmed the leadership in this term at a moment
    // after the given one; false after the wait.
    bool confirmLeadershipSince(Term term, TimePoint moment, std::chrono::milliseconds wait);

    // Wakes the watchers of a group without recent statements and waits until the
    // age of a replica is proved.
    void wakeIfIdle(std::chrono::milliseconds wait);

    // Waits until a majority holds the position durably in its term; false when
    // that was not confirmed by the deadline or the term has ended.
    bool waitForMajority(LogPosition position, TimePoint deadline);

    // Waits until the server has applied the position; false after the wait.
    bool waitForApplied(const ServerId &server, LogPosition position, Duration wait);

    std::optional<Duration> provedAge(LogPosition applied) const;

    // Borrows a connection. Throws LinkError.
    BackendPool::Lease borrow(const ServerId &server, std::chrono::milliseconds wait);
    ServerCapacity capacityOf(const ServerId &server) const;

    // Takes the grant of an announcement that observe() has seen, and returns the
    // request for the next share where one is due. A server that sends no grants is
    // shared in equal parts among the homes that this one knows.
    std::optional<ShareRequest> renewShare(const Announcement &announcement, int homes);
    // Whether connections to the server, or to any server, may be used now.
    bool hasShare(const ServerId &server) const;
    bool hasAnyShare() const;

    // A group that this VM is no longer home of gets no further shares, so that its
    // connections close when the last ones run out.
    bool isHome() const { return m_isHome; }
    void join();
    void leave() { m_isHome = false; }

private:
    // A group without statements for this long is watched at the idle interval.
    static constexpr std::chrono::seconds ActiveTime {3};

    // The link to one backend server; it outlives the server's own restarts.
    struct Link
    {
        std::unique_ptr<BackendPool> pool;
        ConnectionShare share;
        Incarnation incarnation = 0; // of the server's run that the share belongs to
        bool isWatched = false; // the watcher has, or is opening, a connection
        std::thread watcher;

        explicit Link(const HomeRunId &home)
            : share(home)
        { }
    };

    // How a server's watcher stands.
    struct Watch
    {
        TimePoint polledAt;
        int quickPolls = 2; // polls without a wait that are still to be made
        bool isAnswering = true;
        bool wasActive = false;
    };

    void openLink(const Announcement &announcement);
    void watch(const ServerId &server);
    // Closes what a void share leaves and waits for the next one.
    void waitForShare(Link &link, std::unique_ptr<BackendConnection> &connection,
                      std::unique_lock<std::mutex> &lock);
    // Expects the lock to be held and gives it up during the exchange.
    bool watchOnce(const ServerId &server, const Announcement &announcement,
                   std::chrono::milliseconds wait, TimePoint voidAt,
                   std::unique_ptr<BackendConnection> &connection,
                   std::unique_lock<std::mutex> &lock);
    void notePosition(const ServerId &server, const PositionReply &reply, TimePoint sentAt);
    // These expect the mutex to be held.
    // Takes a message by `take` and says so when the sight of the server has changed.
    bool observeSight(const ServerId &server, const std::function<bool()> &take);
    void adoptTerm();
    void settle(const WriteActions &actions);
    bool isActive(TimePoint now) const;
    std::chrono::milliseconds pollInterval() const;
    bool isPollUrgent() const;
    TimePoint pollDueAt(const ServerId &server, const Watch &watch) const;
    void restUntilDue(const ServerId &server, Watch &watch, std::unique_lock<std::mutex> &lock);
    bool isAnyReplicaProved() const;
    // Waits for the condition while the watchers poll without delay; false after the wait.
    bool waitUrgently(std::unique_lock<std::mutex> &lock, Duration wait,
                      const std::function<bool()> &condition);

    const HomeRunId m_ownRun;
    const SettingsSource &m_settings;
    const std::function<void()> m_onSight;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed; // positions, terms or outcomes
    std::condition_variable m_wanted; // wakes idle watchers
    GroupState m_state;
    WriteQuorum m_quorum;
    LeadershipProof m_proof;
    ReplicaAge m_age;
    std::map<ServerId, Link> m_links;
    std::map<WriteTicket, WriteActionKind> m_outcomes;
    WriteTicket m_nextTicket = 1;
    TimePoint m_wantedAt; // of the latest statement
    std::map<ServerId, TimePoint> m_answeredAt; // sending of the latest statement answered
    int m_waitingStatements = 0; // statements that wait for a proof or a position
    std::atomic<bool> m_isHome = false;
    bool m_isStopping = false;
};

} // namespace nutmegtide
