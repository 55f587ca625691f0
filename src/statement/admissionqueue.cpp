#include "nutmegtide/statement/admissionqueue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace nutmegtide {

namespace {

using namespace std::chrono_literals;

// Rounds between two statements of one class and session.
constexpr std::array<std::uint64_t, AdmissionClassCount> RoundsBetween = {1, 4, 16};
// Eighths of the queue up to which a class may fill it.
constexpr std::array<std::size_t, AdmissionClassCount> FillEighths = {8, 6, 4};
constexpr std::size_t Eighths = 8; // one of them is kept for each class
// Waits are estimates, of which a statement must bear a multiple to be admitted: the
// rest is room for preferred classes, which later overtake it. Less is asked of it
// once it waits, so that what was admitted is seldom given up.
constexpr std::array<double, AdmissionClassCount> NewcomerMargins = {1.25, 1.75, 2.5};
constexpr double OvertakenMargin = 1.12;
constexpr double GiveUpMargin = 0.5;
constexpr int UrgentServices = 12; // service times left beyond a slow one
constexpr int IntervalSmoothing = 128; // answers
constexpr int BusyMemory = 32; // service times for which a busy refusal is reckoned with
constexpr Duration LeastStall = 1s; // slow statements on all slots are no fault yet
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

std::size_t AdmissionQueue::placesInTime(const AdmissionRequest &request, TimePoint now) const
{
    const Duration left = request.deadline - now - m_limit.slowServiceTime();
    const double each = NewcomerMargins[indexOf(request.kind)] * double(answerInterval().count());
    const double places = each > 0 ? double(left.count()) / each : double(m_queueLength);
    return static_cast<std::size_t>(std::clamp(places, 0.0, double(m_queueLength)));
}

int AdmissionQueue::mostOfSession(const AdmissionRequest &request, TimePoint now) const
{
    const std::size_t sessions = std::max<std::size_t>(1, m_waitingOfSession.size());
    // There is always room for one session more than those that wait.
    const std::size_t most = std::min(m_queueLength / (sessions + 1),
                                      placesInTime(request, now) / sessions);
    return static_cast<int>(std::max<std::size_t>(1, most));
}

bool AdmissionQueue::hasPlace(const AdmissionRequest &request, TimePoint now) const
{
    if (m_waiting.size() >= m_queueLength)
        return false;
    const auto own = m_waitingOfSession.find(request.session);
    if (own != m_waitingOfSession.end()) {
        // What the session itself would rather have done later takes no place from this one.
        const auto last = own->second.begin() + static_cast<std::ptrdiff_t>(indexOf(request.kind))
                + 1;
        if (std::accumulate(own->second.begin(), last, 0) >= mostOfSession(request, now))
            return false;
    }
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
    return answerInterval() * (ahead - limit + 1);
}

Duration AdmissionQueue::busyReserve(TimePoint now) const
{
    const bool isRecent = m_busyAt && now - *m_busyAt < BusyMemory * m_limit.serviceTime();
    return isRecent ? m_limit.serviceTime() : Duration::zero();
}

Duration AdmissionQueue::answerInterval() const
{
    // The bound lets an estimate of a slower time be forgotten when nothing waits.
    return m_interval ? std::min(*m_interval, m_limit.serviceTime())
                      : m_limit.serviceTime() / m_limit.value();
}

void AdmissionQueue::observeAnswer(Duration service, TimePoint now)
{
    const bool isSaturated = !m_waiting.empty();
    if (isSaturated && m_answeredAt) {
        const Duration usual = answerInterval();
        m_interval = usual + (now - *m_answeredAt - usual) / IntervalSmoothing;
    }
    m_answeredAt = isSaturated ? std::optional(now) : std::nullopt;
    m_limit.observeServed(service, isSaturated, now);
}

void AdmissionQueue::observeBusy(TimePoint now)
{
    m_busyAt = now;
    m_limit.observeBusy(now);
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
    const bool isFree = m_waiting.empty() && mayStart(now);
    if (now + m_limit.slowServiceTime() > request.deadline || isStalled(now)
        || (!isFree && !hasPlace(request, now))) {
        actions.push_back(refusal(request.ticket));
        return actions;
    }
    if (isFree) {
        start(request, now, actions);
        return actions;
    }
    const Flow flow {request.session, request.kind};
    const Waiting newcomer {m_rounds.next(flow, RoundsBetween[indexOf(request.kind)]), request};
    const auto at = std::lower_bound(m_waiting.begin(), m_waiting.end(), newcomer,
                                     [](const Waiting &left, const Waiting &right) {
                                         return left.isBefore(right);
                                     });
    const auto place = static_cast<std::size_t>(at - m_waiting.begin());
    m_waiting.insert(at, newcomer);
    if (!fitsInTime(place, now)) {
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(place));
        actions.push_back(refusal(request.ticket));
        return actions;
    }
    count(request);
    m_rounds.assign(flow, newcomer.round);
    startNext(now, actions);
    return actions;
}

bool AdmissionQueue::fitsInTime(std::size_t place, TimePoint now) const
{
    for (std::size_t rank = place; rank < m_waiting.size(); ++rank) {
        const AdmissionRequest &request = m_waiting[rank].request;
        const double margin = rank == place ? NewcomerMargins[indexOf(request.kind)]
                                            : OvertakenMargin;
        const auto wait = std::chrono::duration_cast<Duration>(margin * waitOf(rank));
        const Duration reserve = rank == place ? busyReserve(now) : Duration::zero();
        if (now + wait + reserve + m_limit.slowServiceTime() > request.deadline)
            return false;
    }
    return true;
}

void AdmissionQueue::count(const AdmissionRequest &request)
{
    ++m_waitingOfClass[indexOf(request.kind)];
    ++m_waitingOfSession[request.session][indexOf(request.kind)];
}

void AdmissionQueue::forget(const AdmissionRequest &request)
{
    --m_waitingOfClass[indexOf(request.kind)];
    const auto own = m_waitingOfSession.find(request.session);
    --own->second[indexOf(request.kind)];
    if (own->second == ClassCounts {})
        m_waitingOfSession.erase(own);
}

void AdmissionQueue::start(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions)
{
    if (m_running.empty())
        m_progressAt = now;
    m_running[request.ticket] = {now, request};
    actions.push_back({AdmissionActionKind::Start, request.ticket, Duration::zero()});
}

bool AdmissionQueue::mayStart(TimePoint now) const
{
    return running() < m_limit.value() && (now >= m_heldUntil || m_running.empty());
}

std::size_t AdmissionQueue::nextTurn(TimePoint now) const
{
    // The others can wait for one more answer, and this one can't.
    const TimePoint urgent = now + m_limit.slowServiceTime()
            + UrgentServices * m_limit.serviceTime();
    std::size_t next = 0;
    for (std::size_t i = 1; i < m_waiting.size(); ++i) {
        const TimePoint deadline = m_waiting[i].request.deadline;
        if (deadline < urgent && deadline < m_waiting[next].request.deadline)
            next = i;
    }
    return next;
}

void AdmissionQueue::startNext(TimePoint now, AdmissionActions &actions)
{
    while (!m_waiting.empty() && mayStart(now)) {
        const std::size_t turn = nextTurn(now);
        const Waiting next = m_waiting[turn];
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(turn));
        // One that is taken out of its turn doesn't move the round on.
        if (turn == 0)
            m_rounds.advance(next.round);
        forget(next.request);
        start(next.request, now, actions);
    }
    if (m_waiting.empty())
        m_rounds.clear();
}

AdmissionActions AdmissionQueue::finish(AdmissionTicket ticket, AdmissionEnd end, TimePoint now)
{
    AdmissionActions actions;
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return actions;
    if (end == AdmissionEnd::Answered)
        observeAnswer(now - found->second.startedAt, now);
    if (end == AdmissionEnd::Busy)
        observeBusy(now);
    m_running.erase(found);
    // Until an answer comes the next one would be refused too; other home proxies
    // may free a slot within the time of a statement.
    m_heldUntil = end == AdmissionEnd::Busy ? now + m_limit.serviceTime() : now;
    m_progressAt = now;
    return expire(now);
}

AdmissionActions AdmissionQueue::resend(AdmissionTicket ticket, TimePoint now)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return {};
    const AdmissionRequest request = found->second.request;
    m_running.erase(found);
    observeBusy(now);
    m_heldUntil = now + m_limit.serviceTime();
    m_progressAt = now;
    // No round is below the first one, so that nothing waits before it.
    m_waiting.insert(m_waiting.begin(), Waiting {0, request});
    // The session has had less than its turn, so its next ones count from now.
    m_rounds.restart({request.session, request.kind});
    count(request);
    return expire(now);
}

Duration AdmissionQueue::stallTime() const
{
    return std::max(LeastStall, StallFactor * m_limit.slowServiceTime());
}

bool AdmissionQueue::isStalled(TimePoint now) const
{
    return running() >= m_limit.value() && now - m_progressAt > stallTime();
}

TimePoint AdmissionQueue::givenUpAt(std::size_t place, TimePoint now) const
{
    const TimePoint deadline = m_waiting[place].request.deadline;
    if (now + timeToFinish(place) <= deadline)
        return deadline - timeToFinish(place);
    // It is taken out of its turn before that, and then only earlier deadlines go first.
    const auto earlier = std::count_if(m_waiting.begin(), m_waiting.end(),
                                       [deadline](const Waiting &other) {
                                           return other.request.deadline < deadline;
                                       });
    return deadline - timeToFinish(std::min(place, static_cast<std::size_t>(earlier)));
}

Duration AdmissionQueue::timeToFinish(std::size_t ahead) const
{
    return std::chrono::duration_cast<Duration>(GiveUpMargin * waitOf(ahead))
            + m_limit.slowServiceTime();
}

AdmissionActions AdmissionQueue::expire(TimePoint now)
{
    AdmissionActions actions;
    const bool isOver = isStalled(now);
    for (std::size_t place = 0; place < m_waiting.size();) {
        if (!isOver && now <= givenUpAt(place, now)) {
            ++place;
            continue;
        }
        const AdmissionRequest request = m_waiting[place].request;
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(place));
        forget(request);
        actions.push_back(refusal(request.ticket));
    }
    startNext(now, actions);
    return actions;
}

std::optional<TimePoint> AdmissionQueue::nextExpiry(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    TimePoint earliest = m_progressAt + stallTime();
    if (m_heldUntil > now)
        earliest = std::min(earliest, m_heldUntil);
    for (std::size_t place = 0; place < m_waiting.size(); ++place)
        earliest = std::min(earliest, givenUpAt(place, now));
    // What is due at this very moment is given up just after it.
    return std::max(earliest, now) + 1ms;
}

} // namespace nutmegtide
