#include "serve/admission.h"

#include <algorithm>

namespace nutmegtide {

namespace {

AdmissionClass classOf(const Statement &statement)
{
    if (statement.access == Access::Write)
        return AdmissionClass::Write;
    return statement.maxAge ? AdmissionClass::AgedRead : AdmissionClass::PlainRead;
}

StatementError overloaded(Duration retryAfter)
{
    return {StatementFailure::Overloaded, Ran::No, "the backend server has no room in time",
            std::chrono::ceil<std::chrono::milliseconds>(retryAfter)};
}

} // namespace

Admission::Pass::Pass(Pass &&other) noexcept
    : m_admission(std::exchange(other.m_admission, nullptr))
    , m_ticket(other.m_ticket)
    , m_end(other.m_end)
{ }

Admission::Pass::~Pass()
{
    if (m_admission)
        m_admission->finish(m_ticket, m_end);
}

void Admission::setBounds(const ServerCapacity &capacity, int queueLength)
{
    const std::lock_guard lock(m_mutex);
    // Connections lent to no admitted statement belong to open transactions.
    const int pinned = std::max(0, capacity.connectionsInUse - m_queue.running());
    m_queue.setBounds(capacity.slots, capacity.connections - pinned, queueLength);
}

Admission::Pass Admission::acquire(const Statement &statement)
{
    std::unique_lock lock(m_mutex);
    const AdmissionTicket ticket = m_next++;
    AdmissionRequest request;
    request.ticket = ticket;
    request.session = statement.session;
    request.kind = classOf(statement);
    request.deadline = statement.deadline;
    take(m_queue.add(request, Clock::now()));
    waitForStart(ticket, lock);
    return {*this, ticket};
}

void Admission::Pass::resend()
{
    m_admission->resend(m_ticket);
}

void Admission::resend(AdmissionTicket ticket)
{
    std::unique_lock lock(m_mutex);
    take(m_queue.resend(ticket, Clock::now()));
    waitForStart(ticket, lock);
}

void Admission::waitForStart(AdmissionTicket ticket, std::unique_lock<std::mutex> &lock)
{
    while (m_decisions.find(ticket) == m_decisions.end())
        waitForChange(lock);
    const AdmissionAction decision = m_decisions.at(ticket);
    m_decisions.erase(ticket);
    if (decision.kind == AdmissionActionKind::Refuse)
        throw overloaded(decision.retryAfter);
}

void Admission::waitForChange(std::unique_lock<std::mutex> &lock)
{
    const auto next = m_queue.nextExpiry(Clock::now());
    if (next)
        m_decided.wait_until(lock, *next);
    else
        m_decided.wait(lock);
    take(m_queue.expire(Clock::now()));
}

void Admission::take(const AdmissionActions &actions)
{
    for (const AdmissionAction &action : actions)
        m_decisions[action.ticket] = action;
    if (!actions.empty())
        m_decided.notify_all();
}

void Admission::finish(AdmissionTicket ticket, AdmissionEnd end)
{
    const std::lock_guard lock(m_mutex);
    take(m_queue.finish(ticket, end, Clock::now()));
}

Admission::Pass Admissions::acquire(const HomeGroup &group, const Statement &statement,
                                    const ServerId &server)
{
    const ServerCapacity capacity = group.capacityOf(server);
    Admission *admission = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        auto &entry = m_admissions[{statement.database, server}];
        if (!entry)
            entry = std::make_unique<Admission>();
        admission = entry.get();
    }
    admission->setBounds(capacity, m_settings.current()->limits.queueLength);
    return admission->acquire(statement);
}

SharedRetryBudget::SharedRetryBudget(const SettingsSource &settings)
    : m_settings(settings)
    , m_budget(settings.current()->limits.retryShare)
{ }

void SharedRetryBudget::noteFresh()
{
    const double share = m_settings.current()->limits.retryShare;
    {
        const std::lock_guard lock(m_mutex);
        m_budget.setShare(share);
        m_budget.noteFresh();
    }
    m_refilled.notify_one();
}

bool SharedRetryBudget::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_budget.takeRetry();
}

bool SharedRetryBudget::waitForRetry(TimePoint deadline)
{
    const TimePoint until = std::min(deadline, Clock::now() + RetryBudget::LongestWait);
    std::unique_lock lock(m_mutex);
    if (!m_budget.isRefilled())
        return false;
    return m_refilled.wait_until(lock, until, [this] { return m_budget.takeRetry(); });
}

} // namespace nutmegtide
