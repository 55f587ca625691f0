#include "nutmegtide/statement/concurrencylimit.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr double CutFactor = 0.75;
constexpr double Smoothing = 1.0 / 8; // weight of the newest service time
constexpr int WindowSize = 32; // service times compared as one mean
constexpr double SlowFactor = 2; // a window this much over the usual mean is slow
constexpr double UsualRise = 1.02; // a window, so that a lasting change becomes usual
// Busy refusals of a window that are borne; well below the retry budget's default share.
constexpr int MostBusy = 2;

} // namespace

void ConcurrencyLimit::setBounds(int slots, int connections)
{
    m_connections = std::max(1, connections);
    if (slots != m_slots)
        m_limit = slots;
    m_slots = slots;
    m_limit = std::clamp(m_limit, 1.0, double(m_connections));
}

int ConcurrencyLimit::value() const
{
    return static_cast<int>(m_limit);
}

Duration ConcurrencyLimit::serviceTime() const
{
    return std::chrono::duration_cast<Duration>(m_mean);
}

Duration ConcurrencyLimit::slowServiceTime() const
{
    return std::chrono::duration_cast<Duration>(m_mean + 2 * m_deviation);
}

void ConcurrencyLimit::observeServed(Duration service, bool isSaturated, TimePoint now)
{
    const Seconds sample(service);
    const Seconds error = sample - m_mean;
    m_mean = m_isMeasured ? m_mean + Smoothing * error : sample;
    m_deviation += Smoothing * ((error < Seconds(0) ? -error : error) - m_deviation);
    if (!m_isMeasured)
        m_deviation = sample / 2;
    m_isMeasured = true;
    m_windowSum += sample;
    m_windowSaturated += isSaturated ? 1 : 0;
    if (++m_windowCount == WindowSize)
        endWindow(now);
}

void ConcurrencyLimit::endWindow(TimePoint now)
{
    const Seconds mean = m_windowSum / m_windowCount;
    const bool isSlow = m_usual > Seconds(0) && mean > SlowFactor * m_usual;
    if (isSlow)
        cut(now);
    else if (m_windowBusy == 0 && 2 * m_windowSaturated > WindowSize)
        m_limit = std::min(double(m_connections), m_limit + 1);
    startWindow();
    m_usual = m_usual > Seconds(0) ? std::min(UsualRise * m_usual, mean) : mean;
}

void ConcurrencyLimit::observeBusy(TimePoint now)
{
    if (++m_windowBusy <= MostBusy)
        return;
    cut(now);
    startWindow();
}

void ConcurrencyLimit::startWindow()
{
    m_windowSum = Seconds(0);
    m_windowCount = 0;
    m_windowBusy = 0;
    m_windowSaturated = 0;
}

void ConcurrencyLimit::cut(TimePoint now)
{
    // Refusals of statements sent under the old limit say nothing of the new one.
    if (now - m_cutAt < serviceTime())
        return;
    m_cutAt = now;
    m_limit = std::max(1.0, m_limit * CutFactor);
}

} // namespace nutmegtide
