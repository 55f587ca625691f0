#include "nutmegtide/statement/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace nutmegtide {

namespace {

using namespace std::chrono_literals;

// Rounds between two statements of one class and session.
constexpr std::array<std::uint64_t, AdmissionClassCount> RoundsBetween = {1, 4, 16};
// Eighths of the queue up to which a class may fill it.
constexpr std::array<std::size_t, AdmissionClassCount> FillEighths = {8, 6, 4};
constexpr std::size_t Eighths = 8; // one of them is kept for each class
constexpr Duration LeastStall = 250ms;
constexpr int StallFactor = 8; // slow service times without any answer
constexpr Duration LeastRetryAfter = 5ms;
constexpr Duration MostRetryAfter = 5s;

std::size_t indexOf(AdmissionClass kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

bool AdmissionQueue::Waiting::isBefore(const Waiting &other) const
{
    return std::tie(round, request.deadline, request.ticket)
            < std::tie(other.round, other.request.deadline, other.request.ticket);
}

void AdmissionQueue::setBounds(int slots, int connections, int queueLength)
{
    m_limit.setBounds(slots, connections);
    m_queueLength = static_cast<std::size_t>(std::max(0, queueLength));
}

std::uint64_t AdmissionQueue::nextRound(const AdmissionRequest &request) const
{
    if (request.isResent)
        return m_round;
    const auto last = m_lastRounds.find({request.session, request.kind});
    const std::uint64_t from = last == m_lastRounds.end() ? m_round
                                                          : std::max(m_round, last->second);
    return from + RoundsBetween[indexOf(request.kind)];
}

int AdmissionQueue::mostOfSession() const
{
    // There is always room for one session more than those that wait.
    const std::size_t shares = m_waitingOfSession.size() + 1;
    return static_cast<int>(std::max<std::size_t>(1, m_queueLength / shares));
}

bool AdmissionQueue::hasPlace(const AdmissionRequest &request) const
{
    if (m_waiting.size() >= m_queueLength)
        return false;
    const auto own = m_waitingOfSession.find(request.session);
    if (own != m_waitingOfSession.end() && own->second >= mostOfSession())
        return false;
    const std::size_t kept = m_queueLength / Eighths;
    const std::size_t kind = indexOf(request.kind);
    if (m_waitingOfClass[kind] < kept)
        return true;
    std::size_t taken = m_waiting.size();
    for (std::size_t other = 0; other < AdmissionClassCount; ++other) {
        if (other != kind && m_waitingOfClass[other] < kept)
            taken += kept - m_waitingOfClass[other];
    }
    return taken < std::max<std::size_t>(1, m_queueLength * FillEighths[kind] / Eighths);
}

Duration AdmissionQueue::waitOf(std::size_t rank) const
{
    const std::size_t limit = static_cast<std::size_t>(m_limit.value());
    const std::size_t ahead = rank + m_running.size();
    if (ahead < limit)
        return Duration::zero();
    return m_limit.serviceTime() * (ahead - limit + 1) / limit;
}

Duration AdmissionQueue::retryAfter() const
{
    return std::clamp(waitOf(m_waiting.size()), LeastRetryAfter, MostRetryAfter);
}

AdmissionAction AdmissionQueue::refusal(AdmissionTicket ticket) const
{
    return {AdmissionActionKind::Refuse, ticket, retryAfter()};
}

AdmissionActions AdmissionQueue::add(const AdmissionRequest &request, TimePoint now)
{
    AdmissionActions actions = expire(now);
    const bool isFree = m_waiting.empty() && running() < m_limit.value();
    if (now + m_limit.slowServiceTime() > request.deadline || isStalled(now)
        || (!isFree && !hasPlace(request))) {
        actions.push_back(refusal(request.ticket));
        return actions;
    }
    if (isFree) {
        start(request, now, actions);
        return actions;
    }
    const Waiting newcomer {nextRound(request), request};
    const auto at = std::lower_bound(m_waiting.begin(), m_waiting.end(), newcomer,
                                     [](const Waiting &left, const Waiting &right) {
                                         return left.isBefore(right);
                                     });
    const auto place = static_cast<std::size_t>(at - m_waiting.begin());
    m_waiting.insert(at, newcomer);
    if (!fitsInTime(place, now, actions)) {
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(place));
        actions.push_back(refusal(request.ticket));
        return actions;
    }
    ++m_waitingOfClass[indexOf(request.kind)];
    ++m_waitingOfSession[request.session];
    m_lastRounds[{request.session, request.kind}] = newcomer.round;
    startNext(now, actions);
    return actions;
}

bool AdmissionQueue::fitsInTime(std::size_t place, TimePoint now, AdmissionActions &actions)
{
    const AdmissionRequest &newcomer = m_waiting[place].request;
    if (now + waitOf(place) + m_limit.slowServiceTime() > newcomer.deadline)
        return false;
    std::vector<AdmissionTicket> late;
    for (std::size_t i = place + 1; i < m_waiting.size(); ++i) {
        const AdmissionRequest &other = m_waiting[i].request;
        const std::size_t rank = i - late.size();
        if (now + waitOf(rank) + m_limit.serviceTime() <= other.deadline)
            continue;
        if (other.kind <= newcomer.kind)
            return false;
        late.push_back(other.ticket);
    }
    for (const AdmissionTicket ticket : late) {
        const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &w) {
            return w.request.ticket == ticket;
        });
        forget(found->request);
        m_waiting.erase(found);
        actions.push_back(refusal(ticket));
    }
    return true;
}

void AdmissionQueue::forget(const AdmissionRequest &request)
{
    --m_waitingOfClass[indexOf(request.kind)];
    const auto own = m_waitingOfSession.find(request.session);
    if (--own->second == 0)
        m_waitingOfSession.erase(own);
}

void AdmissionQueue::start(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions)
{
    if (m_running.empty())
        m_progressAt = now;
    m_running[request.ticket] = now;
    actions.push_back({AdmissionActionKind::Start, request.ticket, Duration::zero()});
}

void AdmissionQueue::startNext(TimePoint now, AdmissionActions &actions)
{
    std::size_t started = 0;
    while (started < m_waiting.size() && running() < m_limit.value()) {
        const Waiting &next = m_waiting[started++];
        m_round = std::max(m_round, next.round);
        forget(next.request);
        start(next.request, now, actions);
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(started));
    if (m_waiting.empty())
        m_lastRounds.clear();
}

AdmissionActions AdmissionQueue::finish(AdmissionTicket ticket, AdmissionEnd end, TimePoint now)
{
    AdmissionActions actions;
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return actions;
    if (end == AdmissionEnd::Answered)
        m_limit.observeServed(now - found->second, !m_waiting.empty(), now);
    if (end == AdmissionEnd::Busy)
        m_limit.observeBusy(now);
    m_running.erase(found);
    m_progressAt = now;
    actions = expire(now);
    startNext(now, actions);
    return actions;
}

Duration AdmissionQueue::stallTime() const
{
    return std::max(LeastStall, StallFactor * m_limit.slowServiceTime());
}

bool AdmissionQueue::isStalled(TimePoint now) const
{
    return running() >= m_limit.value() && now - m_progressAt > stallTime();
}

AdmissionActions AdmissionQueue::expire(TimePoint now)
{
    AdmissionActions actions;
    const bool isOver = isStalled(now);
    std::vector<Waiting> kept;
    for (const Waiting &waiting : m_waiting) {
        const Duration needed = waitOf(kept.size()) + m_limit.serviceTime();
        if (!isOver && now + needed <= waiting.request.deadline) {
            kept.push_back(waiting);
            continue;
        }
        forget(waiting.request);
        actions.push_back(refusal(waiting.request.ticket));
    }
    m_waiting = std::move(kept);
    return actions;
}

std::optional<TimePoint> AdmissionQueue::nextExpiry(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    TimePoint earliest = m_progressAt + stallTime();
    for (std::size_t rank = 0; rank < m_waiting.size(); ++rank) {
        const Duration needed = waitOf(rank) + m_limit.serviceTime();
        earliest = std::min(earliest, m_waiting[rank].request.deadline - needed);
    }
    // What is due at this very moment is given up just after it.
    return std::max(earliest, now) + 1ms;
}

} // namespace nutmegtide
