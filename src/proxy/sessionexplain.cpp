// Part of SessionProxy that explains where a request would go, without changing any state.
#include "nutmegtide/proxy/sessionproxy.h"
#include "proxy/sessionreasons.h"

#include <array>
#include <limits>

namespace nutmegtide {

namespace {

constexpr std::size_t MostCandidates = 100; // bounds the size of an explanation

constexpr std::string_view NoNewSessionsReason = "this VM accepts no new sessions";

// The position that a proof will name isn't known before. It is taken for one that the primary's
// log has just reached, which replicas with a known lag don't have yet.
ReadNeed needOfNextProof(TimePoint now)
{
    constexpr auto Highest = std::numeric_limits<std::uint64_t>::max();
    return {{Highest, Highest}, now};
}

std::string readReason(const RouteExplanation &explanation)
{
    const std::string choice = explanation.readers.isBalanced
            ? "the server is drawn at random; this one has the highest probability"
            : "this server has the lowest expected cost";
    return explanation.need ? choice : choice + "; a proof of position is requested first";
}

} // namespace

std::string_view toString(RouteOutcome outcome)
{
    static constexpr std::array<std::string_view, 3> Names = {"server", "refused", "waits"};
    return Names.at(static_cast<std::size_t>(outcome));
}

RouteAnswer SessionProxy::explain(const RouteQuestion &question, TimePoint now) const
{
    if (m_routes->revision == 0)
        return QuestionFault::NoRoutes;
    const Route *route = m_routes->find(question.database);
    if (route == nullptr)
        return QuestionFault::UnknownDatabase;
    const bool isWorkspaceKnown = question.workspace.isEmpty()
            || (m_routes->workspaces && m_routes->workspaces->find(question.workspace) != nullptr);
    if (!isWorkspaceKnown)
        return QuestionFault::UnknownWorkspace;
    if (question.largestAge && (question.isWrite || route->consistency == Consistency::Latest))
        return QuestionFault::AgeNotApplicable;
    Work work = newWork(*route, now);
    work.isWrite = question.isWrite;
    work.route.largestAge = question.largestAge.value_or(route->largestAge);
    RouteExplanation explanation;
    explanation.route = work.route;
    explanation.revision = m_routes->revision;
    explanation.isWrite = work.isWrite;
    explanation.cap = capOf(question.workspace);
    if (work.isWrite)
        explainWrite(work, explanation, now);
    else
        explainRead(work, explanation, now);
    explainAdmission(question.workspace, explanation, now);
    if (explanation.server) {
        const auto idle = m_pool.closestIdle(*explanation.server, question.workspace, {}, nullptr);
        explanation.idleConnection = idle.value_or(0);
    }
    return explanation;
}

// Follows route() and findNeed().
void SessionProxy::explainRead(const Work &work, RouteExplanation &explanation, TimePoint now) const
{
    const ServiceName &service = work.route.service;
    ReadNeed need = needOfNextProof(now);
    if (const auto found = m_proofs.find(service); found != m_proofs.end()) {
        const PositionProofs &proofs = found->second.proofs;
        const TimePoint since = coveredSince(work.route, work.arrivedAt, now);
        if (const auto proved = proofs.coveringSince(since)) {
            need = {proved->position, proofs.reachedAt(*proved)};
            explanation.need = {proved->position, now - proved->askedAt};
        }
    }
    explanation.readers = m_pool.explainReaders(service, need, MostCandidates, now);
    if (!explanation.need && isPrimaryCutOff(service, now)) {
        explanation.reason = CutOffReason;
        return;
    }
    Work waiting = work;
    if (!explanation.need) {
        extendForPrimaryChange(waiting, now);
        if (!m_pool.primary(service, now))
            return explainWait(waiting, NoPrimaryReason, explanation, now);
    }
    explanation.server = explanation.readers.chosen;
    if (!explanation.server)
        return explainWait(waiting, NoServerReason, explanation, now);
    explanation.outcome = RouteOutcome::Server;
    explanation.reason = readReason(explanation);
}

// Follows route() and assignConnection().
void SessionProxy::explainWrite(const Work &work, RouteExplanation &explanation, TimePoint now) const
{
    const ServiceName &service = work.route.service;
    // A write needs no position, so the candidates are those of a read that needs none.
    explanation.readers = m_pool.explainReaders(service, {}, MostCandidates, now);
    if (const auto reason = writeRefusal(service, false, now)) {
        explanation.reason = *reason;
        return;
    }
    const auto primary = m_pool.primary(service, now);
    Work waiting = work;
    extendForPrimaryChange(waiting, now);
    if (!primary)
        return explainWait(waiting, NoPrimaryReason, explanation, now);
    if (m_pool.isPastLeaveTime(*primary, now))
        return explainWait(waiting, PastLeaveTimeReason, explanation, now);
    explanation.server = primary;
    explanation.outcome = RouteOutcome::Server;
    explanation.reason = m_pool.find(*primary)->failingSince
            ? "this server is the primary, but it fails; the write waits until it answers"
            : "this server is the primary";
}

void SessionProxy::explainWait(const Work &work, std::string_view reason,
                               RouteExplanation &explanation, TimePoint now)
{
    explanation.outcome = mayRetryLater(work, now) ? RouteOutcome::Waits : RouteOutcome::Refused;
    explanation.reason = reason;
}

// The cap is checked before a server is chosen, so its refusal goes before those of the choice.
void SessionProxy::explainAdmission(const WorkspaceName &workspace, RouteExplanation &explanation,
                                    TimePoint now) const
{
    std::optional<std::string> reason;
    const auto queue = m_capQueues.find(workspace);
    if (explanation.cap.isSet() && queue != m_capQueues.end())
        reason = capRefusal(queue->second, now);
    if (!reason && m_refusesSessions && explanation.outcome != RouteOutcome::Refused)
        reason = NoNewSessionsReason;
    if (!reason)
        return;
    explanation.outcome = RouteOutcome::Refused;
    explanation.reason = *reason;
    explanation.server.reset();
}

} // namespace nutmegtide
