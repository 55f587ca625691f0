// Part of SessionProxy that keeps workspaces below their caps. An operation is one statement or one
// transaction. It is charged when its first statement arrives, once, however often it is sent.
#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto LoanWait = 200ms; // for the answer of a lender, and of the next one after it
// A refusal of the lender is repeated to other operations for at most so long, so that a workspace
// far above its cap doesn't overload its lender with requests.
constexpr Duration MaxRefusalTime = 100ms;

std::string overCapReason(Duration retryAfter)
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter);
    return "the workspace has reached its cap; again in " + std::to_string(pause.count()) + " ms";
}

} // namespace

bool SessionProxy::needsLoan(const Session &session) const
{
    return !session.isCharged && capOf(session.workspace).isSet();
}

OperationCap SessionProxy::capOf(const WorkspaceName &name) const
{
    if (name.isEmpty() || !m_routes->workspaces)
        return {};
    const Workspace *workspace = m_routes->workspaces->find(name);
    return workspace == nullptr ? OperationCap() : workspace->cap;
}

bool SessionProxy::hasReturnedLoan(const CapQueue &queue, TimePoint now)
{
    return queue.returned > 0 && now - queue.returnedAt < UnusedLoanTime;
}

std::optional<std::string> SessionProxy::capRefusal(const CapQueue &queue, TimePoint now)
{
    if (hasReturnedLoan(queue, now) || now >= queue.refusedUntil)
        return std::nullopt;
    return overCapReason(queue.refusedUntil - now);
}

void SessionProxy::charge(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    CapQueue &queue = m_capQueues[session.workspace];
    if (hasReturnedLoan(queue, now)) {
        --queue.returned;
        return startCharged(key, now);
    }
    queue.returned = 0;
    if (const auto reason = capRefusal(queue, now))
        return fail(key, StatementFault::OverCap, *reason, now);
    session.work->phase = Phase::Cap;
    queue.waiting.push_back(key);
    m_timers.set(key, now + LoanWait);
    if (queue.asked == 0)
        borrowForWaiting(session.workspace);
}

void SessionProxy::borrowForWaiting(const WorkspaceName &workspace)
{
    CapQueue &queue = m_capQueues.at(workspace);
    queue.asked = static_cast<int>(queue.waiting.size());
    m_delegate.borrow(workspace, queue.asked);
}

void SessionProxy::lent(const WorkspaceName &workspace, const CapLoan &loan, TimePoint now)
{
    const auto found = m_capQueues.find(workspace);
    if (found == m_capQueues.end())
        return;
    CapQueue &queue = found->second;
    int granted = loan.granted;
    if (granted < queue.asked)
        queue.refusedUntil = now + std::min(loan.retryAfter, MaxRefusalTime);
    // Statements that the callers sent ahead start with these. They wait for the next request, or
    // are refused too while a refusal is repeated.
    for (int answered = 0; answered < queue.asked && !queue.waiting.empty(); ++answered) {
        const SessionKey key = queue.waiting.front();
        queue.waiting.pop_front();
        if (granted-- > 0)
            startCharged(key, now);
        else
            fail(key, StatementFault::OverCap, overCapReason(loan.retryAfter), now);
    }
    queue.asked = 0;
    if (!queue.waiting.empty())
        return borrowForWaiting(workspace);
    if (queue.returned == 0 && queue.refusedUntil <= now)
        m_capQueues.erase(found);
}

// The time that a statement may wait for a server begins anew.
void SessionProxy::startCharged(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    session.isCharged = true;
    session.work->sendDeadline += now - session.work->arrivedAt;
    route(key, now);
}

// Called for an operation that is refused and of which nothing was sent.
void SessionProxy::returnLoan(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    session.isCharged = false;
    if (!m_routes->workspaces || m_routes->workspaces->find(session.workspace) == nullptr)
        return;
    CapQueue &queue = m_capQueues[session.workspace];
    ++queue.returned;
    queue.returnedAt = now;
}

} // namespace nutmegtide
