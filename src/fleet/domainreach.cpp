#include "nutmegtide/fleet/domainreach.h"

namespace nutmegtide {

namespace {

constexpr auto QuietTime = 100ms; // since the latest answer from elsewhere, before any doubt
constexpr auto FewAnswerTime = 100ms; // before the others are asked too, which costs bytes only
constexpr auto AllAnswerTime = 250ms; // a VM that is busy or far away answers in this time
constexpr std::size_t FewestQuestioned = 2; // the silence of a single VM is no cut

} // namespace

bool DomainReach::wasHeardLately(TimePoint now) const
{
    return now - m_heardAt < QuietTime;
}

void DomainReach::doubt(TimePoint now)
{
    if (!wasHeardLately(now) && !m_askedFewAt && !m_askedAllAt && m_due == Questions::None)
        m_due = Questions::Few;
}

void DomainReach::warn(TimePoint now)
{
    if (!wasHeardLately(now) && !m_askedAllAt)
        m_due = Questions::All;
}

void DomainReach::heard(TimePoint now)
{
    m_heardAt = now;
    m_due = Questions::None;
    m_askedFewAt.reset();
    m_askedAllAt.reset();
}

void DomainReach::forgive(TimePoint now)
{
    if (m_askedFewAt)
        m_askedFewAt = now;
    if (m_askedAllAt)
        m_askedAllAt = now;
}

DomainReach::Questions DomainReach::due(TimePoint now) const
{
    if (m_askedFewAt && now - *m_askedFewAt >= FewAnswerTime)
        return Questions::All;
    return m_due;
}

void DomainReach::questioned(Questions questions, std::size_t count, TimePoint now)
{
    m_due = Questions::None;
    m_askedFewAt.reset();
    if (questions == Questions::Few)
        m_askedFewAt = now;
    if (questions == Questions::All && count >= FewestQuestioned)
        m_askedAllAt = now;
}

bool DomainReach::isCutOff(TimePoint now) const
{
    return m_askedAllAt && now - *m_askedAllAt >= AllAnswerTime;
}

std::optional<TimePoint> DomainReach::wakeAt() const
{
    if (m_askedAllAt)
        return *m_askedAllAt + AllAnswerTime;
    if (m_askedFewAt)
        return *m_askedFewAt + FewAnswerTime;
    return std::nullopt;
}

} // namespace nutmegtide
