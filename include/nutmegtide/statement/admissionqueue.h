#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/statement/concurrencylimit.h"
#include "nutmegtide/statement/fairrounds.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace nutmegtide {

// Names one statement that asks to run on a backend server.
using AdmissionTicket = std::uint64_t;

// In the order in which they are preferred under overload.
enum class AdmissionClass {
    Write,
    AgedRead, // a read that accepts an age
    PlainRead,
};

constexpr std::size_t AdmissionClassCount = 3;

struct AdmissionRequest
{
    AdmissionTicket ticket = 0;
    SessionId session;
    AdmissionClass kind = AdmissionClass::PlainRead;
    TimePoint deadline;
};

enum class AdmissionActionKind {
    Start,
    Refuse, // it is not run
};

struct AdmissionAction
{
    AdmissionActionKind kind = AdmissionActionKind::Refuse;
    AdmissionTicket ticket = 0;
    Duration retryAfter = Duration::zero(); // of a refusal

    bool operator==(const AdmissionAction &) const = default;
};

using AdmissionActions = std::vector<AdmissionAction>;

// How a started statement ended.
enum class AdmissionEnd {
    Answered,
    Busy, // the server refused it for want of a slot
    Failed, // says nothing of the server's pace
};

// Decides which statement runs next on one backend server and which is refused.
//
//   queue.setBounds(announced.slots, connections, settings.queueLength);
//   run(queue.add(request, now)); // Start or Refuse, now or later
//   run(queue.finish(ticket, AdmissionEnd::Answered, now));
//   run(queue.expire(now)); // at nextExpiry()
//
// Statements run in fair rounds (FairRounds): each session may run
// one write a round, a read with an age every 4 rounds and another read every 16.
// Within a round the earliest deadline is first, and a statement that would be late
// otherwise is taken out of its turn. So every waiting statement is
// overtaken a bounded number of times, whatever arrives, and no class starves.
//
// A newcomer that can't finish by its deadline, by the running estimate of the
// pace of answers, is refused at once. So is one that would make a waiting statement
// late, whatever its class: what waits has been promised its turn. The preferred
// classes may fill more of the queue, and places are kept free for each class and
// for a session that has none.
class AdmissionQueue
{
public:
    void setBounds(int slots, int connections, int queueLength);

    AdmissionActions add(const AdmissionRequest &request, TimePoint now);
    // Ends a started statement.
    AdmissionActions finish(AdmissionTicket ticket, AdmissionEnd end, TimePoint now);
    // Ends a started statement that the server refused as busy and that is to be sent
    // again. It is the next to start: what was started has been promised an answer,
    // and a statement that took its place would only meet the same refusal.
    AdmissionActions resend(AdmissionTicket ticket, TimePoint now);
    // Gives up on waiting statements that can't finish in time any more, and on
    // all of them when the server has stopped to answer. Starts what was held back
    // after a busy refusal.
    AdmissionActions expire(TimePoint now);
    // The next moment at which expire() may have something to do.
    std::optional<TimePoint> nextExpiry(TimePoint now) const;

    int limit() const { return m_limit.value(); }
    int running() const { return static_cast<int>(m_running.size()); }
    int waiting() const { return static_cast<int>(m_waiting.size()); }

private:
    struct Waiting
    {
        std::uint64_t round = 0;
        AdmissionRequest request;

        bool isBefore(const Waiting &other) const;
    };
    struct Running
    {
        TimePoint startedAt;
        AdmissionRequest request;
    };
    using Flow = std::pair<SessionId, AdmissionClass>;
    using ClassCounts = std::array<int, AdmissionClassCount>;

    bool hasPlace(const AdmissionRequest &request, TimePoint now) const;
    // Returns how many may wait before the newcomer so that it finishes in time.
    std::size_t placesInTime(const AdmissionRequest &request, TimePoint now) const;
    // Returns the newcomer's session's share of these places.
    int mostOfSession(const AdmissionRequest &request, TimePoint now) const;
    // Returns whether the newcomer at this place and all behind it can finish in time.
    bool fitsInTime(std::size_t place, TimePoint now) const;
    // Returns the time until the statement with so many others before it starts.
    Duration waitOf(std::size_t rank) const;
    // Returns the moment after which the waiting statement at this place is given up.
    TimePoint givenUpAt(std::size_t place, TimePoint now) const;
    // Returns what a statement with so many others before it needs at least.
    Duration timeToFinish(std::size_t ahead) const;
    // Returns the time that a busy refusal may cost a newcomer: it is sent again after it,
    // or its turn is taken by one that is. Without a recent one it is 0.
    Duration busyReserve(TimePoint now) const;
    // Returns the time between two answers while statements wait.
    Duration answerInterval() const;
    void observeAnswer(Duration service, TimePoint now);
    void observeBusy(TimePoint now);
    Duration retryAfter() const;
    bool isStalled(TimePoint now) const;
    Duration stallTime() const;
    void start(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions);
    bool mayStart(TimePoint now) const;
    // Returns the place of the statement to start: the first, unless one must start now.
    std::size_t nextTurn(TimePoint now) const;
    void startNext(TimePoint now, AdmissionActions &actions);
    // Enters a waiting statement into the counts, and takes it out of them.
    void count(const AdmissionRequest &request);
    void forget(const AdmissionRequest &request);
    AdmissionAction refusal(AdmissionTicket ticket) const;

    ConcurrencyLimit m_limit;
    std::size_t m_queueLength = 0;
    std::vector<Waiting> m_waiting; // in the order of their turns
    std::array<std::size_t, AdmissionClassCount> m_waitingOfClass {};
    std::map<SessionId, ClassCounts> m_waitingOfSession; // those that have any
    std::map<AdmissionTicket, Running> m_running;
    FairRounds<Flow> m_rounds;
    std::optional<TimePoint> m_busyAt; // the last busy refusal
    TimePoint m_heldUntil; // nothing starts after a busy refusal
    TimePoint m_progressAt;
    std::optional<TimePoint> m_answeredAt; // the last answer, where statements waited since
    std::optional<Duration> m_interval; // between answers, smoothed
};

} // namespace nutmegtide
