#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/sessionstatement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

using SessionKey = std::uint64_t; // identifies a caller's session in this process; 0 for none

// A commit that its primary acknowledged, and whose answer is withheld from the caller.
struct UnconfirmedCommit
{
    LogPosition position;
    ServerId primary; // the server that acknowledged it
    TimePoint since; // when it was acknowledged
    bool isVouched = true; // the acknowledgement arrived on a connection that was vouched for
};

// How a server is asked.
enum class QuestionKind {
    Applied, // whether it has applied the position, which takes no slot
    Received, // what it has received, by its status
};

// A question to a server: does its log hold the position?
struct ConfirmationQuestion
{
    ServerId server;
    LogPosition position;
    QuestionKind kind = QuestionKind::Applied;
};

// Returns the commands that ask the question: an empty transaction.
std::vector<ServerCommand> commandsOf(const ConfirmationQuestion &question);

// Why a question wasn't answered with yes.
enum class ConfirmationMiss {
    Lags, // the server's log doesn't hold the position yet
    Unvouched, // it arrived on a connection that isn't vouched for
    Failed, // no reply, or one that says nothing
};

// Decides when the commits of one service are confirmed. A change of primary fences all recorded
// servers but one. A commit that two recorded servers hold is therefore in the log of a fenced one.
// The primary that acknowledged a commit is one of the two if it is recorded itself.
//
// Only replies on connections that are vouched for count, those of the primary included: a server
// that started again after a change of primary held it may receive what that change doesn't cover
// (see ConnectionVouches).
//
// A server holds a commit if it reports a position of the same term that isn't lower, or if it
// confirms that its log holds such a position. One question is outstanding at a time, and covers
// all commits of its term that were waiting when it was asked. After a server that lags, another
// one is asked after a short pause. A server applies what it receives later, so the servers are
// asked for their status once a commit has waited for long, or at first with asksReceivedFirst().
//
//   confirmations.add(session, {reply.position, primary, now});
//   const auto question = confirmations.next(askableServers, now);
//   ... confirmations.noteHeld(question->server, question->position) returns the sessions to answer
class CommitConfirmations
{
public:
    // Sets the servers of all services that the control log records.
    void setRecorded(std::set<ServerId> recorded) { m_recorded = std::move(recorded); }

    // Sets whether servers are asked for their status at first. Where they apply late this is
    // sooner known, but a status takes a slot.
    void setAsksReceivedFirst(bool asksReceivedFirst) { m_asksReceivedFirst = asksReceivedFirst; }

    void add(SessionKey session, const UnconfirmedCommit &commit);
    void remove(SessionKey session);
    // Records that the server's log holds a position. Returns the sessions whose commit is
    // confirmed by it, and removes them.
    std::vector<SessionKey> noteHeld(const ServerId &server, const LogPosition &position);

    // Returns the next question, which is then outstanding, or nullopt if none is due. `askable` is
    // sorted by preference.
    std::optional<ConfirmationQuestion> next(const std::vector<ServerId> &askable, TimePoint now);
    // Ends the outstanding question after the server confirmed it.
    void confirmed();
    // Returns whether the server is known to hold a commit that waits for another one.
    bool isHolder(const ServerId &server) const;
    // Ends the outstanding question.
    void missed(ConfirmationMiss miss, TimePoint now);
    const std::optional<ConfirmationQuestion> &asked() const { return m_asked; }

    // Returns when next() is due or the outstanding question is overdue, or nullopt if no commit
    // waits.
    std::optional<TimePoint> dueAt() const;
    bool isOverdue(TimePoint now) const;
    bool isWaiting() const { return !m_commits.empty(); }
    // Returns the servers that were asked since the latest confirmation, and didn't confirm.
    const std::set<ServerId> &missedServers() const { return m_missed; }
    // Returns the servers whose latest answer arrived on a connection that isn't vouched for.
    const std::set<ServerId> &unvouchedServers() const { return m_unvouched; }
    // Forgets them, since their connections may be vouched for by now.
    void forgetUnvouched() { m_unvouched.clear(); }
    // Returns since when the oldest commit waits.
    std::optional<TimePoint> waitingSince() const;

private:
    struct Waiting
    {
        UnconfirmedCommit commit;
        std::set<ServerId> holders;
    };

    bool isConfirmed(const Waiting &waiting) const;
    QuestionKind nextKind(TimePoint now) const;
    Duration pauseAfter(ConfirmationMiss miss) const;
    const UnconfirmedCommit *oldest() const;
    // Returns the highest commit of the oldest one's term.
    const Waiting &highestOfOldestTerm() const;

    std::set<ServerId> m_recorded;
    std::map<SessionKey, Waiting> m_commits;
    std::optional<ConfirmationQuestion> m_asked;
    TimePoint m_askedAt {};
    TimePoint m_pausedUntil {};
    bool m_hasLagged = false; // a server lagged since the latest confirmation
    std::set<ServerId> m_missed; // servers that gave no confirmation since the latest one
    std::set<ServerId> m_unvouched;
    bool m_hasOthers = false; // candidates were left beside the server that was asked
    bool m_asksReceivedFirst = false;
    bool m_hasStatusFailed = false; // the latest question for a status had no answer
};

} // namespace nutmegtide
