// The watchers of a home group: one thread for each backend server, which asks for
// its position as often as the settings and the waiting statements need.

#include "serve/homegroup.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto ShortestInterval = 10ms;
constexpr auto WaitingPollWait = 5ms; // of a poll while statements wait for what it tells
// Polls without a wait after a pause: the second proves what the first observed.
constexpr int QuickPolls = 2;
constexpr auto RetryInterval = 50ms; // after a failed poll
constexpr auto AnswerTime = 1s; // beyond the wait of a long poll

} // namespace

bool HomeGroup::isActive(TimePoint now) const
{
    return now - m_wantedAt < ActiveTime;
}

std::chrono::milliseconds HomeGroup::pollInterval() const
{
    const auto settings = m_settings.current();
    if (!isActive(Clock::now()))
        return settings->failover.replicaAnnounceInterval;
    // Four observations within the shortest time that depends on them.
    const auto shortest = std::min(settings->failover.detectionTime, settings->reads.smallestAge);
    return std::max<std::chrono::milliseconds>(shortest / 4, ShortestInterval);
}

bool HomeGroup::isPollUrgent() const
{
    return m_quorum.nextDeadline().has_value() || m_waitingStatements > 0;
}

TimePoint HomeGroup::pollDueAt(const ServerId &server, const Watch &watch) const
{
    if (!watch.isAnswering)
        return watch.polledAt + RetryInterval;
    if (watch.quickPolls > 0 || isPollUrgent())
        return watch.polledAt;
    // A busy link needs no poll: the answers on it carry the server's position.
    const auto answered = m_answeredAt.find(server);
    const TimePoint heardAt = answered == m_answeredAt.end()
            ? watch.polledAt
            : std::max(watch.polledAt, answered->second);
    return heardAt + pollInterval();
}

void HomeGroup::restUntilDue(const ServerId &server, Watch &watch,
                             std::unique_lock<std::mutex> &lock)
{
    const ConnectionShare &share = m_links.at(server).share;
    while (!m_isStopping && share.current(Clock::now()) > 0) {
        const bool isNowActive = isActive(Clock::now());
        if (isNowActive && !watch.wasActive)
            watch.quickPolls = QuickPolls;
        watch.wasActive = isNowActive;
        const TimePoint due = pollDueAt(server, watch);
        if (due <= Clock::now())
            return;
        m_wanted.wait_until(lock, std::min(due, share.voidAt()));
    }
}

void HomeGroup::waitForShare(Link &link, std::unique_ptr<BackendConnection> &connection,
                             std::unique_lock<std::mutex> &lock)
{
    connection.reset();
    link.isWatched = false;
    link.pool->setMost(0);
    m_wanted.wait(lock, [&] { return m_isStopping || link.share.current(Clock::now()) > 0; });
}

void HomeGroup::watch(const ServerId &server)
{
    std::unique_ptr<BackendConnection> connection;
    Watch watch;
    std::unique_lock lock(m_mutex);
    Link &link = m_links.at(server);
    while (!m_isStopping) {
        restUntilDue(server, watch, lock);
        if (link.share.current(Clock::now()) == 0) {
            waitForShare(link, connection, lock);
            watch = {};
            continue;
        }
        link.isWatched = true;
        const GroupServer *known = m_state.find(server);
        const auto longPoll = m_waitingStatements > 0 ? WaitingPollWait : pollInterval();
        const auto wait = isPollUrgent() && watch.quickPolls == 0 ? longPoll : 0ms;
        watch.polledAt = Clock::now();
        watch.isAnswering = known && !m_isStopping
                && watchOnce(server, known->announcement, wait, link.share.voidAt(), connection,
                             lock);
        watch.quickPolls = std::max(0, watch.quickPolls - 1);
        if (!watch.isAnswering)
            watch.quickPolls = QuickPolls;
    }
}

bool HomeGroup::watchOnce(const ServerId &server, const Announcement &announcement,
                          std::chrono::milliseconds wait, TimePoint voidAt,
                          std::unique_ptr<BackendConnection> &connection,
                          std::unique_lock<std::mutex> &lock)
{
    const Endpoint address = announcement.address;
    const Term term = announcement.term;
    const LogPosition next {announcement.durable.term, announcement.durable.index + 1};
    lock.unlock();
    if (!connection || connection->server() != address)
        connection = std::make_unique<BackendConnection>(address, m_ownRun);
    const TimePoint sentAt = Clock::now();
    // A server that doesn't answer must not hold the connection beyond the share.
    const auto untilVoid = std::chrono::floor<std::chrono::milliseconds>(voidAt - sentAt);
    const auto timeout = std::clamp<std::chrono::milliseconds>(untilVoid, 1ms, wait + AnswerTime);
    std::optional<PositionReply> reply;
    bool isRefused = false;
    try {
        reply = connection->position(term, next, wait, timeout);
    } catch (const LinkError &fault) {
        isRefused = fault.isRefusing();
    } catch (const RefusedByServer &) {
        reply.reset();
    }
    if (reply)
        notePosition(server, *reply, sentAt);
    if (isRefused)
        observeRefusal(server);
    lock.lock();
    return reply.has_value();
}

} // namespace nutmegtide
