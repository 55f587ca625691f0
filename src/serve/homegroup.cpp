#include "serve/homegroup.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto FreshAge = 100ms; // of a replica that the first read after a pause takes

} // namespace

HomeGroup::HomeGroup(HomeRunId ownRun, const SettingsSource &settings, std::function<void()> onSight)
    : m_ownRun(std::move(ownRun))
    , m_settings(settings)
    , m_onSight(std::move(onSight))
    , m_wantedAt(Clock::now() - ActiveTime)
{ }

HomeGroup::~HomeGroup()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wanted.notify_all();
    m_changed.notify_all();
    for (auto &[server, link] : m_links)
        link.watcher.join();
}

bool HomeGroup::observe(const Announcement &announcement)
{
    const std::lock_guard lock(m_mutex);
    const Term term = m_state.term();
    const auto primary = m_state.primary();
    const bool isTaken = observeSight(announcement.server,
                                      [&] { return m_state.observe(announcement, Clock::now()); });
    if (!isTaken)
        return false;
    openLink(announcement);
    adoptTerm();
    settle(m_quorum.observe(announcement.server, announcement.term, announcement.durable));
    m_changed.notify_all();
    return m_state.term() != term || m_state.primary() != primary;
}

bool HomeGroup::observeSight(const ServerId &server, const std::function<bool()> &take)
{
    const StatusTimeouts limits = statusTimeouts(m_settings.current()->failover);
    const auto sightNow = [&]() -> std::optional<ServerStatus> {
        const GroupServer *known = m_state.find(server);
        return known ? std::optional(statusOf(*known, limits, Clock::now())) : std::nullopt;
    };
    const auto before = sightNow();
    const bool isTaken = take();
    if (sightNow() != before)
        m_onSight();
    return isTaken;
}

void HomeGroup::openLink(const Announcement &announcement)
{
    const auto found = m_links.find(announcement.server);
    if (found != m_links.end()) {
        found->second.pool->setServer(announcement.address);
        return;
    }
    Link &link = m_links.try_emplace(announcement.server, m_ownRun).first->second;
    link.pool = std::make_unique<BackendPool>(announcement.address, 0, m_ownRun);
    link.watcher = std::thread([this, server = announcement.server] { watch(server); });
}

void HomeGroup::adoptTerm()
{
    const std::vector<ServerId> named = m_state.voters();
    if (named.empty())
        return;
    const Voters voters({named});
    m_proof.setTerm(m_state.term(), voters);
    settle(m_quorum.setTerm(m_state.term(), voters));
}

void HomeGroup::observeAnswer(const ServerId &server, const ExecuteReply &reply, TimePoint sentAt)
{
    PositionReply position;
    position.term = reply.term;
    position.role = reply.role;
    position.last = reply.position;
    notePosition(server, position, sentAt);
    const std::lock_guard lock(m_mutex);
    m_answeredAt[server] = sentAt;
}

void HomeGroup::observeRefusal(const ServerId &server)
{
    const std::lock_guard lock(m_mutex);
    observeSight(server, [&] {
        m_state.observeRefusal(server);
        return true;
    });
}

void HomeGroup::observeTerm(const ServerId &server, Term term)
{
    PositionReply position;
    position.term = term;
    const std::lock_guard lock(m_mutex);
    const GroupServer *known = m_state.find(server);
    if (known && known->announcement.term < term)
        observeSight(server,
                     [&] { return m_state.observePosition(server, position, Clock::now()); });
    settle(m_quorum.observe(server, term, {}));
}

void HomeGroup::notePosition(const ServerId &server, const PositionReply &reply, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    const bool isTaken = observeSight(server, [&] {
        return m_state.observePosition(server, reply, Clock::now());
    });
    if (!isTaken)
        return;
    adoptTerm();
    m_proof.confirm(server, reply.term, sentAt);
    if (reply.role == ServerRole::Primary)
        m_age.observePrimary(reply.term, reply.last, sentAt);
    if (const auto confirmedAt = m_proof.confirmedAt())
        m_age.confirmLeadership(m_proof.term(), *confirmedAt);
    settle(m_quorum.observe(server, reply.term, reply.durable));
    m_changed.notify_all();
}

void HomeGroup::settle(const WriteActions &actions)
{
    for (const WriteAction &action : actions)
        m_outcomes[action.ticket] = action.kind;
    if (!actions.empty())
        m_changed.notify_all();
}

Term HomeGroup::term() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.term();
}

std::optional<ServerId> HomeGroup::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.primary();
}

bool HomeGroup::isKnown() const
{
    const std::lock_guard lock(m_mutex);
    return !m_state.servers().empty();
}

std::map<ServerId, GroupServer> HomeGroup::servers() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.servers();
}

GroupStatus HomeGroup::sight() const
{
    const StatusTimeouts limits = statusTimeouts(m_settings.current()->failover);
    const std::lock_guard lock(m_mutex);
    return statusOf(m_state, limits, Clock::now());
}

TimePoint HomeGroup::statusChangesAt() const
{
    const StatusTimeouts limits = statusTimeouts(m_settings.current()->failover);
    const std::lock_guard lock(m_mutex);
    return nutmegtide::statusChangesAt(m_state, limits, Clock::now());
}

GroupSnapshot HomeGroup::snapshot() const
{
    const auto settings = m_settings.current();
    const Duration detection = settings->failover.detectionTime;
    const Duration silence = detection + 2 * settings->failover.replicaAnnounceInterval;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    GroupSnapshot group;
    group.term = m_state.term();
    group.primary = m_state.primary();
    group.isLeadershipConfirmed = m_proof.term() == group.term
            && m_proof.isConfirmedWithin(detection, now);
    for (const auto &[id, server] : m_state.servers()) {
        ServerSnapshot entry;
        entry.id = id;
        entry.failureDomain = server.announcement.failureDomain;
        entry.role = server.announcement.role;
        entry.applied = server.announcement.last;
        entry.provedAge = m_age.provedAge(server.announcement.last, now);
        entry.inFlight = m_links.at(id).pool->inUse();
        entry.limit = server.announcement.slots;
        entry.state = server.announcement.state;
        entry.isSuspect = m_state.isSuspect(id, silence, now);
        group.servers.push_back(entry);
    }
    return group;
}

bool HomeGroup::waitUrgently(std::unique_lock<std::mutex> &lock, Duration wait,
                             const std::function<bool()> &condition)
{
    ++m_waitingStatements; // makes the watchers poll without delay
    m_wanted.notify_all();
    const bool isInTime = m_changed.wait_for(lock, wait, condition);
    --m_waitingStatements;
    return isInTime;
}

bool HomeGroup::confirmLeadership(std::chrono::milliseconds wait)
{
    const Duration detection = m_settings.current()->failover.detectionTime;
    std::unique_lock lock(m_mutex);
    m_wantedAt = Clock::now();
    const auto isConfirmed = [&] {
        return m_proof.term() == m_state.term()
                && m_proof.isConfirmedWithin(detection, Clock::now());
    };
    return isConfirmed() || waitUrgently(lock, wait, isConfirmed);
}

bool HomeGroup::confirmLeadershipSince(Term term, TimePoint moment, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_wantedAt = Clock::now();
    return waitUrgently(lock, wait, [&] {
        const auto confirmedAt = m_proof.confirmedAt();
        return m_proof.term() == term && confirmedAt && *confirmedAt > moment;
    });
}

void HomeGroup::wakeIfIdle(std::chrono::milliseconds wait)
{
    bool isIdle = false;
    {
        const std::lock_guard lock(m_mutex);
        isIdle = !isActive(Clock::now());
        m_wantedAt = Clock::now();
    }
    if (!isIdle)
        return;
    m_wanted.notify_all();
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return isAnyReplicaProved(); });
}

bool HomeGroup::isAnyReplicaProved() const
{
    const TimePoint now = Clock::now();
    for (const auto &[id, server] : m_state.servers()) {
        const auto age = m_age.provedAge(server.announcement.last, now);
        if (server.announcement.role == ServerRole::Replica && age && *age <= FreshAge)
            return true;
    }
    return false;
}

bool HomeGroup::waitForMajority(LogPosition position, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    m_wantedAt = Clock::now();
    const WriteTicket ticket = m_nextTicket++;
    settle(m_quorum.add(ticket, position, deadline));
    m_wanted.notify_all();
    while (m_outcomes.find(ticket) == m_outcomes.end()) {
        m_changed.wait_until(lock, deadline);
        settle(m_quorum.expire(Clock::now()));
    }
    const WriteActionKind outcome = m_outcomes.at(ticket);
    m_outcomes.erase(ticket);
    return outcome == WriteActionKind::Acknowledge;
}

bool HomeGroup::waitForApplied(const ServerId &server, LogPosition position, Duration wait)
{
    std::unique_lock lock(m_mutex);
    m_wantedAt = Clock::now();
    return waitUrgently(lock, wait, [&] {
        const GroupServer *known = m_state.find(server);
        return known && isTokenSatisfied(known->announcement.last, position);
    });
}

std::optional<Duration> HomeGroup::provedAge(LogPosition applied) const
{
    const std::lock_guard lock(m_mutex);
    return m_age.provedAge(applied, Clock::now());
}

BackendPool::Lease HomeGroup::borrow(const ServerId &server, std::chrono::milliseconds wait)
{
    BackendPool *pool = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find(server);
        if (found == m_links.end())
            throw LinkError(LinkFault::Refused, "no link to " + server.text());
        pool = found->second.pool.get();
    }
    return pool->borrow(wait);
}

ServerCapacity HomeGroup::capacityOf(const ServerId &server) const
{
    const std::lock_guard lock(m_mutex);
    const auto link = m_links.find(server);
    const GroupServer *known = m_state.find(server);
    if (link == m_links.end() || !known)
        return {};
    const BackendPool &pool = *link->second.pool;
    return {known->announcement.slots, pool.most(), pool.inUse()};
}

} // namespace nutmegtide
