#include "nutmegtide/failover/reportschedule.h"

#include <algorithm>

namespace nutmegtide {

Duration ReportSchedule::intervalOf(const GroupSight &sight) const
{
    return sight.isSuspected ? m_timings.suspected : m_timings.whole;
}

std::vector<DatabaseName> ReportSchedule::dueDatabases(const Sights &sights, TimePoint now) const
{
    std::vector<DatabaseName> due;
    for (const auto &[database, sight] : sights) {
        const auto told = m_told.find(database);
        const bool isNew = told == m_told.end() || told->second.sight != sight;
        if (isNew || now - told->second.at >= intervalOf(sight))
            due.push_back(database);
    }
    return due;
}

std::optional<ReportCall> ReportSchedule::next(const std::vector<VmName> &controls,
                                               const Sights &sights, TimePoint now)
{
    m_controls = controls.size();
    if (m_leader) {
        const auto due = dueDatabases(sights, now);
        if (due.empty() && now - m_calledAt < m_timings.heartbeat)
            return std::nullopt;
        return ReportCall {*m_leader, due};
    }
    if (now < m_askAt)
        return std::nullopt;
    if (controls.empty()) {
        m_askAt = now + m_timings.askAgain;
        return std::nullopt;
    }
    ++m_asked;
    const bool isWantedThere = std::find(controls.begin(), controls.end(), m_wanted)
            != controls.end();
    return ReportCall {isWantedThere ? m_wanted : controls[m_turn++ % controls.size()], {}};
}

void ReportSchedule::onAnswer(const ReportCall &call, const Sights &sights,
                              const ReportAnswer &answer, TimePoint now)
{
    if (!answer.isLeader) {
        const bool isLeaderNamed = !answer.leader.isEmpty() && answer.leader != call.control;
        lookOn(isLeaderNamed ? answer.leader : VmName(), now);
        if (!isLeaderNamed)
            pause(now); // while an election goes on, the others know no more
        return;
    }
    m_calledAt = now;
    if (!m_leader) {
        m_leader = call.control;
        m_asked = 0;
        m_told.clear();
        return;
    }
    for (const DatabaseName &database : call.databases)
        m_told[database] = {sights.at(database), now};
    if (answer.knownGroups != m_told.size())
        sendAllAgain(now);
}

void ReportSchedule::sendAllAgain(TimePoint now)
{
    const bool isSoon = m_renewedAt && now - *m_renewedAt < m_timings.heartbeat;
    if (isSoon)
        return;
    m_renewedAt = now;
    m_told.clear();
}

void ReportSchedule::onFailure(TimePoint now)
{
    lookOn(VmName(), now);
}

void ReportSchedule::lookOn(const VmName &wanted, TimePoint now)
{
    m_leader.reset();
    m_wanted = wanted;
    // Each control VM once, and one more call to the leader that the last of them names.
    if (m_asked > m_controls)
        pause(now);
}

void ReportSchedule::pause(TimePoint now)
{
    m_asked = 0;
    m_askAt = now + m_timings.askAgain;
}

TimePoint ReportSchedule::dueAt(TimePoint now) const
{
    if (!m_leader)
        return std::max(now, m_askAt);
    TimePoint due = m_calledAt + m_timings.heartbeat;
    for (const auto &[database, told] : m_told)
        due = std::min(due, told.at + intervalOf(told.sight));
    return due;
}

} // namespace nutmegtide
