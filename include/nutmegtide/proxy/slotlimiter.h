#pragma once

#include "nutmegtide/proxy/averagetime.h"
#include "nutmegtide/statement/retrybudget.h"

namespace nutmegtide {

// Decides how many statements a home runs at once on a server that it shares with other homes, and
// whether one that the server refused as busy is sent again.
//
// The homes don't tell each other what they send. Slots that are divided among them are idle at one
// home while statements wait at another, so each home sends more than its part, as long as the
// server refuses few of them: a refusal only costs the way between the home and the server. After a
// refusal nothing starts before one of the home's own statements is answered or the usual time
// between two answers of the server has passed, since until then another one would be refused too.
//
//   limiter.setBounds(slots, homes);
//   if (limiter.mayStart(running, now)) {
//       limiter.noteSent();
//       ...
//   limiter.noteAnswered(ran, isSaturated); // or
//   if (limiter.takeBusy(now)) sendAgain(statement);
class SlotLimiter
{
public:
    // Sets the server's slots and the number of homes that share them.
    void setBounds(int slots, int homes);
    // Returns how many statements may run at once.
    int limit() const { return m_limit; }
    bool mayStart(int running, TimePoint now) const
    {
        return running < m_limit && now >= m_heldUntil;
    }
    // Returns when statements may start again after a busy refusal.
    TimePoint heldUntil() const { return m_heldUntil; }

    // Records that a statement was sent.
    void noteSent() { m_resends.noteFresh(); }
    // Records that one of the home's statements ran. `isSaturated` says whether others wait.
    void noteAnswered(Duration ran, bool isSaturated);
    // Records that the server refused a statement as busy. Returns whether to send it again.
    bool takeBusy(TimePoint now);

private:
    static constexpr double MostResent = 0.1; // of the statements that are sent

    void countOutcome();

    RetryBudget m_resends {MostResent};
    AverageTime m_serviceTime;
    int m_slots = 0;
    int m_homes = 0;
    int m_limit = 1;
    int m_part = 1; // the home's part of the slots, rounded up; the limit is never lower
    TimePoint m_heldUntil {};
    // Of the latest window of outcomes.
    int m_outcomes = 0;
    int m_busy = 0;
    int m_saturated = 0;
};

} // namespace nutmegtide
