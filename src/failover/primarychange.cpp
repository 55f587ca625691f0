#include "nutmegtide/failover/primarychange.h"

#include <algorithm>
#include <sstream>

namespace nutmegtide {

const std::map<std::string, PrimaryChange::ActionHandler> PrimaryChange::ActionHandlers = {
        {"probe_voters", &PrimaryChange::probeVoters},
        {"raise_term", &PrimaryChange::raiseTerm},
        {"reserve_term", &PrimaryChange::reserveTerm},
        {"fence_voters", &PrimaryChange::fenceVoters},
        {"choose_primary", &PrimaryChange::choosePrimary},
        {"promote_chosen", &PrimaryChange::promoteChosen},
        {"follow_chosen", &PrimaryChange::followChosen},
        {"await_barrier", &PrimaryChange::awaitBarrier},
        {"publish_group", &PrimaryChange::publishGroup},
        {"record_published", &PrimaryChange::recordPublished},
        {"record_failed", &PrimaryChange::recordFailed},
        {"schedule_retry", &PrimaryChange::scheduleRetry},
};

PrimaryChange::PrimaryChange(const Chart &chart, ChangeTimings timings, ChangeRequest request,
                             GroupRecord record)
    : m_chart(chart)
    , m_timings(timings)
    , m_request(std::move(request))
    , m_record(std::move(record))
{ }

ChangeActions PrimaryChange::start(TimePoint now)
{
    m_isStarted = true;
    m_actions.emplace_back(RecordChangeEvent {EventKind::PrimaryChangeStarted, m_record.term,
                                              m_request.suspect.value_or(m_record.primary), ""});
    fire(m_request.suspect ? "suspected" : "requested", now);
    return takeActions();
}

ChangeActions PrimaryChange::withdraw(TimePoint now)
{
    if (!m_hasReserved)
        fire("recovered", now);
    return takeActions();
}

void PrimaryChange::fire(const std::string &event, TimePoint now)
{
    m_now = now;
    const ChartStep step = m_chart.fire(event);
    if (!step.isTaken)
        return;
    m_enteredAt = now;
    m_resendAt = now + m_timings.resend;
    for (const std::string &action : step.actions)
        (this->*ActionHandlers.at(action))();
    // Choosing a primary requires no message, so its result is fired at once.
    if (m_chart.state() == "choosing") {
        m_why = "no fenced voter holds the highest position";
        fire(m_chosen.isEmpty() ? "none_eligible" : "chosen", now);
    }
}

ChangeActions PrimaryChange::takeActions()
{
    return std::exchange(m_actions, {});
}

Duration PrimaryChange::durationOf(const std::string &setting) const
{
    struct Row
    {
        const char *setting;
        std::chrono::milliseconds ChangeTimings::*duration;
    };
    static constexpr Row Rows[] = {
            {"probe_timeout", &ChangeTimings::probe},
            {"fence_timeout", &ChangeTimings::fence},
            {"promote_timeout", &ChangeTimings::promote},
            {"confirm_timeout", &ChangeTimings::confirm},
            {"publish_timeout", &ChangeTimings::publish},
            {"retry_time", &ChangeTimings::retry},
    };
    for (const Row &row : Rows) {
        if (setting == row.setting)
            return m_timings.*row.duration;
    }
    throw ChartEventError("unknown timeout in the chart primary_change: " + setting);
}

std::optional<TimePoint> PrimaryChange::wakeAt() const
{
    if (!m_chart.timeout())
        return std::nullopt;
    return std::min(m_enteredAt + durationOf(m_chart.timeout()->after), m_resendAt);
}

ChangeActions PrimaryChange::tick(TimePoint now)
{
    if (!m_chart.timeout())
        return {};
    if (now >= m_enteredAt + durationOf(m_chart.timeout()->after)) {
        m_why = "timeout in state " + m_chart.state();
        fire(std::string(m_chart.timeout()->event), now);
    } else if (now >= m_resendAt) {
        m_resendAt = now + m_timings.resend;
        resend();
    }
    return takeActions();
}

std::string PrimaryChange::toText() const
{
    std::ostringstream out;
    out << m_chart.state() << ' ' << m_term << ' ' << m_highestTerm << ' ' << m_hasReserved << ' '
        << m_isPublished << ' ' << m_chosen << ' ' << m_barrier;
    for (const auto &[server, reply] : m_probed)
        out << " probed " << server << ' ' << reply.term << (isExcluded(server) ? " out" : "");
    for (const auto &[server, reply] : m_fenced)
        out << " fenced " << server << ' ' << reply.durable;
    for (const ServerId &server : m_barrierHolders)
        out << " holds " << server;
    return out.str();
}

// ---- voters and majorities ----

std::set<ServerId> PrimaryChange::allServers() const
{
    std::set<ServerId> servers(m_record.voters.begin(), m_record.voters.end());
    servers.insert(m_record.pendingVoters.begin(), m_record.pendingVoters.end());
    const std::vector<ServerId> target = targetVoters();
    servers.insert(target.begin(), target.end());
    return servers;
}

std::vector<ServerId> PrimaryChange::targetVoters() const
{
    if (!m_record.pendingVoters.empty())
        return m_record.pendingVoters;
    return m_request.voters.empty() ? m_record.voters : m_request.voters;
}

template <typename Predicate>
bool PrimaryChange::isMajority(const std::vector<ServerId> &set, const Predicate &holds) const
{
    const auto count = std::count_if(set.begin(), set.end(), holds);
    return 2 * static_cast<std::size_t>(count) > set.size();
}

template <typename Predicate>
bool PrimaryChange::isMajorityOfOldSets(const Predicate &holds) const
{
    return isMajority(m_record.voters, holds)
            && (m_record.pendingVoters.empty() || isMajority(m_record.pendingVoters, holds));
}

bool PrimaryChange::isExcluded(const ServerId &server) const
{
    // The homes can't use a suspect that still leads, so it must not be chosen again. A suspect
    // that has already lost its term, by an incomplete fence or a restart, may be chosen.
    if (server != m_request.suspect)
        return false;
    const auto found = m_probed.find(server);
    return found != m_probed.end() && found->second.role == ServerRole::Primary
            && found->second.term == m_highestTerm;
}

// ---- probe ----

void PrimaryChange::probeVoters()
{
    m_probed.clear();
    m_fenced.clear();
    m_barrierHolders.clear();
    m_chosen = ServerId();
    m_highestTerm = std::max({m_highestTerm, m_record.term, m_record.attempt});
    for (const ServerId &server : allServers())
        m_actions.emplace_back(ProbeServer {server});
}

ChangeActions PrimaryChange::onProbed(const ServerId &server, const PositionReply &reply,
                                      TimePoint now)
{
    if (m_chart.state() != "probing")
        return {};
    m_probed[server] = reply;
    m_highestTerm = std::max(m_highestTerm, reply.term);
    const auto isReached = [this](const ServerId &id) {
        return m_probed.count(id) != 0 && !isExcluded(id);
    };
    if (isMajorityOfOldSets(isReached) && isMajority(targetVoters(), isReached))
        fire("probe_ok", now);
    return takeActions();
}

// ---- term ----

void PrimaryChange::raiseTerm()
{
    m_term = m_highestTerm + 1;
    m_highestTerm = m_term;
}

void PrimaryChange::reserveTerm()
{
    m_hasReserved = true;
    m_actions.emplace_back(ProposeGroup {{GroupCommandKind::Reserve,
                                          m_request.database,
                                          m_term,
                                          m_request.owner,
                                          {},
                                          targetVoters()}});
}

ChangeActions PrimaryChange::onCommitted(const GroupCommand &command, const GroupRecord &record,
                                         TimePoint now)
{
    m_highestTerm = std::max(m_highestTerm, record.attempt);
    const bool isOurs = command.term == m_term && record.attempt == m_term
            && record.attemptOwner == m_request.owner;
    const bool isReservation = command.kind == GroupCommandKind::Reserve;
    m_record = record;
    if (command.term != m_term)
        return takeActions();
    if (!isOurs) {
        m_why = "another change has reserved a later term";
        fire(isReservation ? "reserve_failed" : "publish_failed", now);
    } else {
        fire(isReservation ? "reserved" : "published", now);
    }
    return takeActions();
}

ChangeActions PrimaryChange::onProposalFailed(const GroupCommand &command, TimePoint now)
{
    if (command.term != m_term)
        return {};
    m_why = "the control log did not accept the proposal";
    fire(command.kind == GroupCommandKind::Reserve ? "reserve_failed" : "publish_failed", now);
    return takeActions();
}

// ---- fence ----

void PrimaryChange::fenceVoters()
{
    for (const ServerId &server : allServers()) {
        if (!isExcluded(server))
            m_actions.emplace_back(FenceServer {server, m_term});
    }
}

ChangeActions PrimaryChange::onFenced(const ServerId &server, const FenceReply &reply, TimePoint now)
{
    if (m_chart.state() != "fencing" || reply.term != m_term)
        return {};
    m_fenced[server] = reply;
    const auto isFenced = [this](const ServerId &id) { return m_fenced.count(id) != 0; };
    if (isMajorityOfOldSets(isFenced) && isMajority(targetVoters(), isFenced)) {
        m_actions.emplace_back(RecordChangeEvent {EventKind::GroupFenced, m_term, {}, ""});
        fire("fenced_majority", now);
    }
    return takeActions();
}

ChangeActions PrimaryChange::onStaleTerm(Term asked, Term term, TimePoint now)
{
    m_highestTerm = std::max(m_highestTerm, term);
    if (asked != m_term || term <= m_term)
        return {};
    m_why = "a server has accepted term " + std::to_string(term);
    fire("outdated", now);
    return takeActions();
}

// ---- choice and promotion ----

void PrimaryChange::choosePrimary()
{
    LogPosition highest;
    for (const auto &[server, reply] : m_fenced)
        highest = std::max(highest, reply.durable);
    const std::vector<ServerId> target = targetVoters();
    for (const auto &[server, reply] : m_fenced) {
        const bool isVoter = std::find(target.begin(), target.end(), server) != target.end();
        const bool isBetter = m_chosen.isEmpty() || m_chosen == m_request.suspect;
        if (isVoter && reply.durable == highest && isBetter)
            m_chosen = server;
    }
    if (!m_chosen.isEmpty())
        m_actions.emplace_back(RecordChangeEvent {EventKind::PrimaryChosen, m_term, m_chosen, ""});
}

void PrimaryChange::promoteChosen()
{
    m_actions.emplace_back(PromoteServer {m_chosen, m_term, targetVoters()});
}

ChangeActions PrimaryChange::onPromoted(const ServerId &server, const PromoteReply &reply,
                                        TimePoint now)
{
    if (m_chart.state() != "promoting" || reply.term != m_term || server != m_chosen)
        return {};
    m_barrier = reply.barrier;
    m_actions.emplace_back(RecordChangeEvent {EventKind::PrimaryPromoted, m_term, m_chosen, ""});
    fire("promoted", now);
    return takeActions();
}

void PrimaryChange::followChosen()
{
    for (const ServerId &server : allServers()) {
        if (server != m_chosen)
            m_actions.emplace_back(FollowServer {server, m_term, m_chosen, targetVoters()});
    }
}

// ---- barrier and publication ----

void PrimaryChange::awaitBarrier()
{
    for (const ServerId &server : targetVoters())
        m_actions.emplace_back(WatchBarrier {server, m_term, m_barrier});
}

ChangeActions PrimaryChange::onPosition(const ServerId &server, const PositionReply &reply,
                                        TimePoint now)
{
    if (m_chart.state() != "confirming")
        return {};
    if (reply.term > m_term)
        return onStaleTerm(m_term, reply.term, now);
    const bool isHolding = reply.term == m_term && reply.durable.term == m_term
            && reply.durable >= m_barrier;
    if (!isHolding)
        return {};
    m_barrierHolders.insert(server);
    const auto holds = [this](const ServerId &id) { return m_barrierHolders.count(id) != 0; };
    if (isMajority(targetVoters(), holds))
        fire("barrier_confirmed", now);
    return takeActions();
}

void PrimaryChange::publishGroup()
{
    m_actions.emplace_back(ProposeGroup {{GroupCommandKind::Publish, m_request.database, m_term,
                                          m_request.owner, m_chosen, targetVoters()}});
}

void PrimaryChange::recordPublished()
{
    m_isPublished = true;
    m_actions.emplace_back(RecordChangeEvent {EventKind::PrimaryPublished, m_term, m_chosen, ""});
}

void PrimaryChange::recordFailed()
{
    m_actions.emplace_back(
            RecordChangeEvent {EventKind::PrimaryChangeFailed, m_term, m_chosen, m_why});
}

void PrimaryChange::scheduleRetry()
{
    // The chart's timeout of the failed state starts the retry; nothing may be sent before it.
    m_resendAt = m_now + m_timings.retry;
}

// ---- resending ----

void PrimaryChange::resend()
{
    for (const ServerId &server : allServers())
        resendTo(server);
}

void PrimaryChange::resendTo(const ServerId &server)
{
    const std::string &state = m_chart.state();
    if (state == "probing" && m_probed.count(server) == 0)
        m_actions.emplace_back(ProbeServer {server});
    if (state == "fencing" && m_fenced.count(server) == 0 && !isExcluded(server))
        m_actions.emplace_back(FenceServer {server, m_term});
    if (state == "promoting" && server == m_chosen)
        m_actions.emplace_back(PromoteServer {server, m_term, targetVoters()});
    if (state != "confirming" || m_barrierHolders.count(server) != 0)
        return;
    if (server != m_chosen)
        m_actions.emplace_back(FollowServer {server, m_term, m_chosen, targetVoters()});
    m_actions.emplace_back(WatchBarrier {server, m_term, m_barrier});
}

} // namespace nutmegtide
