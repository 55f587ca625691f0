#include "nutmegtide/proxy/slotlimiter.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr int ExtraStatements = 1; // sent beyond the slots, to cover the network delay to the server
constexpr Duration MinHold = 1ms;
constexpr int WindowSize = 32; // outcomes
// The limit is lowered above so many refusals in a window, and raised below. Resends are bounded by
// a tenth of the statements.
constexpr int MostBusy = 3;
constexpr int FewBusy = 1;

} // namespace

void SlotLimiter::setBounds(int slots, int homes)
{
    slots = std::max(1, slots);
    homes = std::max(1, homes);
    if (slots == m_slots && homes == m_homes)
        return;
    m_slots = slots;
    m_homes = homes;
    m_part = (slots + homes - 1) / homes;
    m_limit = (slots + ExtraStatements + homes - 1) / homes;
}

void SlotLimiter::noteAnswered(Duration ran, bool isSaturated)
{
    m_serviceTime.note(ran);
    m_heldUntil = {};
    if (isSaturated)
        ++m_saturated;
    countOutcome();
}

bool SlotLimiter::takeBusy(TimePoint now)
{
    m_heldUntil = now + std::max(MinHold, m_serviceTime.value() / m_slots);
    ++m_busy;
    countOutcome();
    return m_resends.takeRetry();
}

void SlotLimiter::countOutcome()
{
    if (++m_outcomes < WindowSize)
        return;
    if (m_busy > MostBusy)
        m_limit = std::max(m_part, m_limit - 1);
    else if (m_busy <= FewBusy && m_saturated > WindowSize / 2)
        m_limit = std::min(m_slots + ExtraStatements, m_limit + 1);
    m_outcomes = 0;
    m_busy = 0;
    m_saturated = 0;
}

} // namespace nutmegtide
