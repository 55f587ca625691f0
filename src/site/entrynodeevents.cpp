// What an entry VM passes on between callers, the session proxy, backend servers and lenders.
#include "site/entrynode.h"

namespace nutmegtide {

void EntryNode::sessionOpened(SessionKey session, const DatabaseName &database, const KeyDigest &key)
{
    m_proxy.openSession(session, database, key, EventLoop::now());
}

void EntryNode::statementReceived(SessionKey session, const SessionStatement &statement)
{
    m_proxy.receive(session, statement, EventLoop::now());
}

void EntryNode::sessionClosed(SessionKey session, const std::string & /*reason*/)
{
    m_proxy.callerLeft(session, EventLoop::now());
}

void EntryNode::callerLimited(SessionKey session, const std::string &reason)
{
    m_counts.countLimitedCaller();
    logLine(LogLevel::Warning, "caller_limited",
            {{"session", std::to_string(session)}, {"reason", reason}});
}

void EntryNode::connectionOpened(ConnectionKey connection)
{
    m_proxy.opened(connection, m_links.isLane(connection), EventLoop::now());
}

void EntryNode::connectionRefused(ConnectionKey connection, StatementFault fault)
{
    m_proxy.refused(connection, fault, EventLoop::now());
}

void EntryNode::replyReceived(ConnectionKey connection, const ServerReply &reply)
{
    m_proxy.replied(connection, reply, EventLoop::now());
}

void EntryNode::connectionLost(ConnectionKey connection, Loss loss)
{
    m_proxy.lost(connection, loss, EventLoop::now());
}

void EntryNode::connectionClosingSoon(ConnectionKey connection)
{
    m_proxy.retire(connection, EventLoop::now());
}

void EntryNode::accept(SessionKey session)
{
    m_callers->accept(session);
}

void EntryNode::answer(SessionKey session, const RequestId &request, const SessionAnswer &answer)
{
    m_callers->answer(session, request, answer);
}

void EntryNode::end(SessionKey session, std::optional<StatementFault> fault)
{
    m_callers->end(session, fault);
}

void EntryNode::open(ConnectionKey connection, const ServerAnnouncement &server,
                     const WorkspaceName &workspace)
{
    m_links.open(connection, server, workspace);
}

void EntryNode::send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
                     const Urgency &urgency)
{
    m_links.send(connection, commands, urgency);
}

void EntryNode::close(ConnectionKey connection)
{
    m_links.close(connection);
}

void EntryNode::borrow(const WorkspaceName &workspace, int wanted)
{
    m_borrower.borrow(workspace, wanted, EventLoop::now());
}

std::optional<ServerReplicationStatus> EntryNode::readStatus(const ServerReply &reply)
{
    return readReplicationStatus(reply);
}

bool EntryNode::isReachable(const Endpoint &lender)
{
    m_links.setUnlistedLenders(m_borrower.unlistedLenders());
    return m_links.isHomeReachable(lender);
}

void EntryNode::requestLoan(const Endpoint &lender, const WorkspaceName &workspace, LenderRole role,
                            int wanted, const std::vector<LoanHistory> &reports)
{
    m_links.requestLoan(lender, workspace, role, wanted, reports);
}

HomePort::OwnerView EntryNode::ownerOf(const WorkspaceName &workspace)
{
    const TimePoint now = EventLoop::now();
    const std::optional<Endpoint> owner = m_borrower.ownerOf(workspace, now);
    // A process that has just started knows no lenders, and isn't the owner for that.
    if (!owner)
        return {OwnerState::Reachable, {}, {}};
    if (*owner == m_settings.listen.lanes)
        return {OwnerState::Self, {}, m_borrower.ownerSince(workspace, now)};
    if (m_links.isHomeReachable(*owner))
        return {OwnerState::Reachable, owner, {}};
    return {OwnerState::Unreachable, {}, {}};
}

void EntryNode::lent(const WorkspaceName &workspace, const CapLoan &loan)
{
    m_proxy.lent(workspace, loan, EventLoop::now());
}

} // namespace nutmegtide
