#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// Bounds retries to a share of fresh statements, so that a fault can't multiply
// the load that caused it. It is a token bucket: a fresh statement puts the share
// in, a retry takes one out. What it holds is bounded, so that a long quiet time
// doesn't allow a burst.
//
//   RetryBudget budget(settings.retryShare);
//   budget.noteFresh();
//   if (budget.takeRetry()) send(again);
class RetryBudget
{
public:
    // A process that has served little may still retry a few times.
    static constexpr double MostHeld = 10; // retries

    // How long a retry whose turn has come may wait for fresh statements to allow it.
    static constexpr Duration LongestWait = std::chrono::milliseconds(20);

    // The share is of fresh statements: 0.1 allows one retry for ten of them.
    explicit RetryBudget(double share)
        : m_share(share)
        , m_held(share > 0 ? MostHeld : 0)
    { }

    void setShare(double share) { m_share = share; }
    // Returns whether fresh statements allow more retries; it is useless to wait otherwise.
    bool isRefilled() const { return m_share > 0; }
    void noteFresh();
    // Returns whether a retry may be sent, and counts it if so.
    bool takeRetry();

private:
    double m_share;
    double m_held;
};

} // namespace nutmegtide
