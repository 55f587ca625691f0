// Part of LaneLinks that asks homes for operations of workspaces with a cap.
#include "site/lanelinks.h"

namespace nutmegtide {

namespace {

// Throws MessageError.
Endpoint ownerOf(const wire::Loan &message)
{
    try {
        return parseEndpoint(message.owner);
    } catch (const EndpointError &fault) {
        throw MessageError(fault.what());
    }
}

} // namespace

std::vector<CapLenderCandidate> LaneLinks::lenderCandidates() const
{
    std::vector<CapLenderCandidate> candidates;
    for (const Endpoint &at : m_allHomes) {
        const auto domain = m_domainOfHome.find(at);
        candidates.push_back({at, domain == m_domainOfHome.end() ? m_own : domain->second});
    }
    return candidates;
}

bool LaneLinks::isHomeReachable(const Endpoint &at)
{
    if (m_allHomes.count(at) != 0 || m_unlistedLenders.count(at) != 0)
        connect(at, EventLoop::now());
    return isUsable(at);
}

void LaneLinks::requestLoan(const Endpoint &at, const WorkspaceName &workspace, LenderRole role,
                            int wanted, const std::vector<LoanHistory> &reports)
{
    wire::LoanRequest request;
    request.workspace = workspace.text();
    request.wanted = wanted;
    request.isForStandIn = role == LenderRole::StandIn;
    for (const LoanHistory &report : reports)
        request.reports.push_back(toWire(report));
    request.__isset.reports = !reports.empty();
    Home &home = m_homes.at(at);
    // An unanswered request makes a frozen home be probed.
    if (home.unanswered++ == 0)
        home.heardAt = EventLoop::now();
    ++home.loansAsked;
    wire::LaneFrame &frame = outgoing(at);
    frame.loanRequests.push_back(std::move(request));
    frame.__isset.loanRequests = true;
}

void LaneLinks::handleLoan(const Endpoint &at, const wire::Loan &message)
{
    Home &home = m_homes.at(at);
    if (home.loansAsked == 0)
        return;
    --home.loansAsked;
    --home.unanswered;
    const LenderRole role = message.isFromStandIn ? LenderRole::StandIn : LenderRole::Owner;
    CapLoan loan;
    loan.granted = message.granted;
    loan.retryAfter = std::chrono::milliseconds(message.retryMilliseconds);
    loan.isUnable = message.isUnable;
    if (message.__isset.history)
        loan.history = fromWire(message.history);
    if (message.__isset.owner)
        loan.owner = ownerOf(message);
    m_onLoan(at, WorkspaceName(message.workspace), role, loan);
}

} // namespace nutmegtide
