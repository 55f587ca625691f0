#include "nutmegtide/failover/reportschedule.h"

#include <algorithm>

namespace nutmegtide {

Duration ReportSchedule::intervalOf(const GroupStatus &sight) const
{
    return sight.isSuspected ? m_timings.suspected : m_timings.fullReport;
}

std::vector<DatabaseName> ReportSchedule::dueDatabases(const Sights &sights, TimePoint now) const
{
    std::vector<DatabaseName> due;
    for (const auto &[database, sight] : sights) {
        const auto sent = m_sentReports.find(database);
        const bool isNew = sent == m_sentReports.end() || sent->second.sight != sight;
        if (isNew || now - sent->second.at >= intervalOf(sight))
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
        if (due.empty() && now - m_lastAnswerAt < m_timings.heartbeat)
            return std::nullopt;
        return ReportCall {*m_leader, due};
    }
    if (now < m_nextSearchAt)
        return std::nullopt;
    if (controls.empty()) {
        m_nextSearchAt = now + m_timings.searchInterval;
        return std::nullopt;
    }
    ++m_controlsAsked;
    const bool isCandidateKnown = std::find(controls.begin(), controls.end(), m_candidate)
            != controls.end();
    return ReportCall {isCandidateKnown ? m_candidate : controls[m_nextControl++ % controls.size()],
                       {}};
}

void ReportSchedule::onAnswer(const ReportCall &call, const Sights &sights,
                              const ReportAnswer &answer, TimePoint now)
{
    if (!answer.isLeader) {
        const bool isLeaderNamed = !answer.leader.isEmpty() && answer.leader != call.control;
        searchLeader(isLeaderNamed ? answer.leader : VmName(), now);
        if (!isLeaderNamed)
            pauseSearch(now); // during an election the other control VMs know no leader either
        return;
    }
    m_lastAnswerAt = now;
    if (!m_leader) {
        m_leader = call.control;
        m_controlsAsked = 0;
        m_sentReports.clear();
        return;
    }
    for (const DatabaseName &database : call.databases)
        m_sentReports[database] = {sights.at(database), now};
    if (answer.knownGroups != m_sentReports.size())
        resetSentReports(now);
}

void ReportSchedule::resetSentReports(TimePoint now)
{
    const bool isSoon = m_lastResetAt && now - *m_lastResetAt < m_timings.heartbeat;
    if (isSoon)
        return;
    m_lastResetAt = now;
    m_sentReports.clear();
}

void ReportSchedule::onFailure(TimePoint now)
{
    searchLeader(VmName(), now);
}

void ReportSchedule::searchLeader(const VmName &candidate, TimePoint now)
{
    m_leader.reset();
    m_candidate = candidate;
    // Pauses after one call to each control VM and one more to the leader that the last one named.
    if (m_controlsAsked > m_controls)
        pauseSearch(now);
}

void ReportSchedule::pauseSearch(TimePoint now)
{
    m_controlsAsked = 0;
    m_nextSearchAt = now + m_timings.searchInterval;
}

TimePoint ReportSchedule::dueAt(TimePoint now) const
{
    if (!m_leader)
        return std::max(now, m_nextSearchAt);
    TimePoint due = m_lastAnswerAt + m_timings.heartbeat;
    for (const auto &[database, sent] : m_sentReports)
        due = std::min(due, sent.at + intervalOf(sent.sight));
    return due;
}

} // namespace nutmegtide
