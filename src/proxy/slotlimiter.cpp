#include "nutmegtide/proxy/slotlimiter.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr int ExtraStatements = 1; // sent beyond the slots, to cover the network delay to the server
constexpr Duration MinHold = 1ms;

} // namespace

void SlotLimiter::setBounds(int slots, int homes)
{
    m_slots = std::max(1, slots);
    const int part = (m_slots + std::max(1, homes) - 1) / std::max(1, homes);
    m_limit.setBounds(part, m_slots + ExtraStatements);
}

void SlotLimiter::noteAnswered(Duration ran, bool isSaturated, TimePoint now)
{
    m_limit.observeServed(ran, isSaturated, now);
    m_heldUntil = {};
}

bool SlotLimiter::takeBusy(TimePoint now)
{
    m_limit.observeBusy(now);
    m_heldUntil = now + std::max(MinHold, m_limit.serviceTime() / m_slots);
    return m_resends.takeRetry();
}

} // namespace nutmegtide
