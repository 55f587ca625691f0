#include "nutmegtide/statement/retrybudget.h"

#include <algorithm>

namespace nutmegtide {

void RetryBudget::noteFresh()
{
    m_held = std::min(MostHeld, m_held + m_share);
}

bool RetryBudget::takeRetry()
{
    // A sum of shares such as ten times 0.1 may end just below one.
    constexpr double Rounding = 1e-9;
    if (m_share <= 0 || m_held < 1 - Rounding)
        return false;
    m_held -= 1;
    return true;
}

} // namespace nutmegtide
