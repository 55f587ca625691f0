#pragma once

#include "nutmegtide/statement/concurrencylimit.h"
#include "nutmegtide/statement/retrybudget.h"

namespace nutmegtide {

// Decides how many statements a home runs at once on a server that it shares with other homes, and
// whether one that the server refused as busy is sent again.
//
// The homes don't tell each other what they send. Each one starts with its part of the slots, sends
// less where the server refuses, and more where none is refused while statements wait. After a busy
// refusal nothing starts before one of the home's own statements is answered or the usual time
// between two answers of the server has passed, since until then another one would be refused too.
//
//   limiter.setBounds(slots, homes);
//   if (limiter.mayStart(running, now)) {
//       limiter.noteSent();
//       ...
//   limiter.noteAnswered(ran, isSaturated, now); // or
//   if (limiter.takeBusy(now)) sendAgain(statement);
class SlotLimiter
{
public:
    // Sets the server's slots and the number of homes that share them.
    void setBounds(int slots, int homes);
    // Returns how many statements may run at once.
    int limit() const { return m_limit.value(); }
    bool mayStart(int running, TimePoint now) const
    {
        return running < limit() && now >= m_heldUntil;
    }
    // Returns when statements may start again after a busy refusal.
    TimePoint heldUntil() const { return m_heldUntil; }

    // Records that a statement was sent.
    void noteSent() { m_resends.noteFresh(); }
    // Records that one of the home's statements ran. `isSaturated` says whether others wait.
    void noteAnswered(Duration ran, bool isSaturated, TimePoint now);
    // Records that the server refused a statement as busy. Returns whether to send it again.
    bool takeBusy(TimePoint now);

private:
    static constexpr double MostResent = 0.1; // of the statements that are sent

    ConcurrencyLimit m_limit {ConcurrencyLimit::SlowAnswers::Ignored};
    RetryBudget m_resends {MostResent};
    int m_slots = 1;
    TimePoint m_heldUntil {};
};

} // namespace nutmegtide
