#include "site/homeport.h"

#include <algorithm>
#include <event2/util.h>
#include <limits>
#include <random>

namespace nutmegtide {

namespace {

// LaneLinks gives up a home no sooner than this after its last answer.
constexpr auto LongestStall = 300ms;
constexpr auto WarningInterval = 100ms; // between forwarded warnings
constexpr auto UninformedLogInterval = 1s;
// A failure domain without homes may lend a share of the caps by itself, and may come back.
constexpr auto MissingDomainTime = 30s;
constexpr auto LenderInterval = 1s; // between updates of the lender without new homes or servers

// A longer time would overflow where it is added to others.
Duration durationOf(std::int64_t microseconds)
{
    constexpr std::int64_t Longest = std::chrono::microseconds(24h).count();
    return std::chrono::microseconds(std::clamp(microseconds, -Longest, Longest));
}

} // namespace

HomePort::HomePort(EventLoop &loop, const Endpoint &at, const std::string &self, FailureDomain own,
                   const LinkLimitSettings &limits, OnFault onFault, FindOwner findOwner)
    : m_loop(loop)
    , m_own(std::move(own))
    , m_onFault(std::move(onFault))
    , m_findOwner(std::move(findOwner))
    , m_servers(makeServerLinks(loop, self, *this))
    , m_listener(loop.base(), at, [this](int socket) { take(socket); })
    , m_limits(limits, [this](LinkKey link) { return measure(link); })
{ }

LenderId HomePort::lenderRun()
{
    std::random_device random;
    return std::uniform_int_distribution<LenderId>(1, std::numeric_limits<std::int32_t>::max())(
            random);
}

void HomePort::take(int socket)
{
    const std::uint64_t link = ++m_lastLink;
    if (!makeRoomFor(link)) {
        evutil_closesocket(socket);
        return;
    }
    StreamSocket::Handlers handlers;
    handlers.received = [this, link](std::string_view bytes) { return read(link, bytes); };
    handlers.ended = [this, link](StreamSocket::End /*end*/) { end(link); };
    Link &made = m_links[link];
    made.socket = std::make_unique<StreamSocket>(m_loop.base(), socket, std::move(handlers));
    if (m_isLeaving)
        outgoing(link)->isLeaving = true;
}

wire::LaneFrame *HomePort::outgoing(std::uint64_t link)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return nullptr;
    m_unsent.insert(link);
    return &found->second.outgoing;
}

// Returns whether to continue reading.
bool HomePort::read(std::uint64_t link, std::string_view bytes)
{
    const auto from = m_links.find(link);
    if (from == m_links.end())
        return false;
    if (wasStalled()) {
        closeAllLinks();
        return false;
    }
    FrameBuffer &frames = from->second.frames;
    try {
        frames.append(bytes);
        while (const auto frame = frames.next(m_expander)) {
            m_limits.frameTaken(link, EventLoop::now());
            handleFrame(link, *frame);
            if (m_links.count(link) == 0)
                return false;
        }
    } catch (const MessageError &fault) {
        m_onFault("lane_frame_refused", fault.what());
        end(link);
        return false;
    }
    m_limits.setIncomplete(link, frames.size(), frames.memory(), EventLoop::now());
    return keepWithinMemory(link);
}

bool HomePort::wasStalled() const
{
    return EventLoop::now() - m_flushedAt > LongestStall;
}

void HomePort::closeAllLinks()
{
    const Duration stall = EventLoop::now() - m_flushedAt;
    m_onFault("home_stood_still",
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(stall).count())
                      + " ms");
    std::vector<std::uint64_t> links;
    for (const auto &[key, link] : m_links)
        links.push_back(key);
    for (const std::uint64_t key : links)
        end(key);
}

void HomePort::handleFrame(std::uint64_t link, const wire::LaneFrame &frame)
{
    const TimePoint now = EventLoop::now();
    if (frame.isQuestion)
        outgoing(link)->isAnswer = true;
    if (!frame.failureDomain.empty()) {
        m_links.at(link).failureDomain = FailureDomain(frame.failureDomain);
        m_limits.noteHeld(link, frame.failureDomain.size());
    }
    if (frame.isReachDoubted)
        forwardReachWarning(link, now);
    for (const wire::LaneRequest &request : frame.requests) {
        const LaneKey lane {link, static_cast<std::uint64_t>(request.lane)};
        std::vector<ServerCommand> commands;
        for (const wire::LaneCommand &command : request.commands)
            commands.push_back(fromWire(command));
        m_limits.noteHeld(link, bytesFor(commands));
        if (!commands.empty())
            m_home.take(lane, {ServerId(request.server), WorkspaceName(request.workspace)},
                        commands,
                        {request.rank, durationOf(request.patienceMicroseconds),
                         durationOf(request.workMicroseconds)},
                        now);
        if (request.isClosed)
            m_home.closeLane(lane, now);
        if (!keepWithinMemory(link))
            return;
    }
    for (const wire::LoanRequest &request : frame.loanRequests) {
        handleLoanRequest(link, request);
        m_limits.noteHeld(link, sizeof(wire::Loan) + request.workspace.size());
        if (!keepWithinMemory(link))
            return;
    }
}

void HomePort::handleLoanRequest(std::uint64_t link, const wire::LoanRequest &request)
{
    const TimePoint now = EventLoop::now();
    const WorkspaceName workspace(request.workspace);
    for (const wire::LoanHistory &report : request.reports)
        m_lender.noteReported(workspace, fromWire(report), now);
    const OwnerView owner = m_findOwner(workspace);
    const std::uint64_t uninformedBefore = m_lender.uninformedCount();
    const CapLoan lent = m_lender.lend(workspace, owner.state, std::max(0, request.wanted), now,
                                       owner.since);
    if (owner.state != OwnerState::Self && request.wanted > 0) {
        m_onFault("cap_stand_in",
                  "workspace " + workspace.text() + ", granted " + std::to_string(lent.granted)
                          + " of " + std::to_string(request.wanted)
                          + (owner.at ? ", the owner is " + toString(*owner.at)
                                      : ", the owner can't be reached"));
    }
    if (m_lender.uninformedCount() != uninformedBefore
        && now - m_uninformedLoggedAt > UninformedLogInterval) {
        m_uninformedLoggedAt = now;
        m_onFault("cap_reserve_only",
                  "workspace " + workspace.text()
                          + ", no entry VM has reported what another home lent");
    }
    wire::Loan loan;
    loan.workspace = request.workspace;
    loan.granted = lent.granted;
    loan.retryMilliseconds = static_cast<std::int32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(lent.retryAfter).count());
    loan.isFromStandIn = request.isForStandIn;
    if (lent.history.lender != 0)
        loan.__set_history(toWire(lent.history));
    if (lent.isUnable)
        loan.__set_isUnable(true);
    if (owner.at)
        loan.__set_owner(toString(*owner.at));
    wire::LaneFrame *frame = outgoing(link);
    frame->loans.push_back(std::move(loan));
    frame->__isset.loans = true;
}

void HomePort::setServers(const std::vector<ServerRecord> &records)
{
    m_home.setServers(records, EventLoop::now());
    m_domainOf.clear();
    for (const ServerRecord &record : records)
        m_domainOf[record.announcement.server] = record.announcement.failureDomain;
    updateLender(EventLoop::now());
}

void HomePort::updateLender(TimePoint now)
{
    m_lenderDueAt = now + LenderInterval;
    std::set<FailureDomain> present;
    for (const auto &[server, homes] : m_homesByServer) {
        const auto domain = m_domainOf.find(server);
        if (domain != m_domainOf.end())
            present.insert(domain->second);
    }
    for (const FailureDomain &domain : present)
        m_domainSeenAt[domain] = now;
    std::erase_if(m_domainSeenAt,
                  [now](const auto &item) { return now - item.second > MissingDomainTime; });
    const std::size_t reached = m_isCutOff ? 1 : present.size();
    m_lender.setDomains(static_cast<int>(reached), static_cast<int>(m_domainSeenAt.size()));
    m_lender.forgetUnused(now);
}

void HomePort::setCutOff(bool isCutOff)
{
    if (std::exchange(m_isCutOff, isCutOff) != isCutOff)
        updateLender(EventLoop::now());
}

// Forwards the warning to the other VMs of the entry VM's failure domain, which then probe their
// homes themselves.
void HomePort::forwardReachWarning(std::uint64_t from, TimePoint now)
{
    const FailureDomain domain = m_links.at(from).failureDomain;
    if (domain.isEmpty() || now - m_warningForwardedAt < WarningInterval)
        return;
    m_warningForwardedAt = now;
    for (const auto &[key, link] : m_links) {
        if (key != from && link.failureDomain == domain)
            outgoing(key)->isReachDoubted = true;
    }
}

void HomePort::end(std::uint64_t link)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    m_limits.remove(link);
    m_loop.destroyLater(std::move(found->second.socket));
    m_links.erase(found);
    m_home.linkLost(link, EventLoop::now());
}

void HomePort::leave()
{
    m_isLeaving = true;
    for (const auto &[key, link] : m_links)
        outgoing(key)->isLeaving = true;
}

void HomePort::setHomes(const ServerHomes &homes, const Endpoint &own)
{
    std::map<ServerId, int> counts;
    for (const auto &[server, lanes] : homes) {
        if (std::find(lanes.begin(), lanes.end(), own) != lanes.end())
            counts[server] = static_cast<int>(lanes.size());
    }
    m_home.setHomeCounts(std::move(counts));
    m_homesByServer = homes;
    updateLender(EventLoop::now());
}

void HomePort::tick(TimePoint now)
{
    m_home.tick(now);
    closeLimited(m_limits.takeOverdue(now), "a frame is overdue");
    if (now >= m_lenderDueAt)
        updateLender(now);
}

void HomePort::flush()
{
    // A wait that is interrupted by a signal gets here before any data is read.
    if (wasStalled())
        closeAllLinks();
    m_flushedAt = EventLoop::now();
    std::vector<std::uint64_t> slowReaders;
    for (const std::uint64_t key : std::exchange(m_unsent, {})) {
        const auto link = m_links.find(key);
        if (link == m_links.end())
            continue;
        const FailureDomain &domain = link->second.failureDomain;
        const auto way = domain.isEmpty() || domain == m_own ? FrameWriter::Way::StaysInDomain
                                                             : FrameWriter::Way::LeavesDomain;
        const std::string bytes = m_writer.write(std::exchange(link->second.outgoing, {}), way);
        link->second.socket->send(bytes);
        m_limits.noteHeld(key, bytes.size());
        if (link->second.socket->isSendBufferFull())
            slowReaders.push_back(key);
    }
    for (const std::uint64_t key : slowReaders) {
        m_onFault("lane_peer_cut", "the peer doesn't read its data");
        end(key);
    }
    closeExcess();
}

void HomePort::open(ConnectionKey connection, const ServerAnnouncement &server,
                    const WorkspaceName &workspace)
{
    m_servers->open(connection, server, workspace);
}

void HomePort::send(ConnectionKey connection, const std::vector<ServerCommand> &commands)
{
    m_servers->send(connection, commands);
}

void HomePort::close(ConnectionKey connection)
{
    m_servers->close(connection);
}

void HomePort::reply(const LaneKey &lane, const ServerReply &reply)
{
    if (wire::LaneFrame *frame = outgoing(lane.link))
        frame->replies.push_back(toWire(lane.lane, reply));
}

void HomePort::laneLost(const LaneKey &lane)
{
    wire::LaneReply lost;
    lost.lane = static_cast<std::int64_t>(lane.lane);
    lost.isLost = true;
    if (wire::LaneFrame *frame = outgoing(lane.link))
        frame->replies.push_back(lost);
}

void HomePort::reportEvidence(std::uint64_t key, const ServerId &server, ServerEvidence evidence)
{
    wire::LaneEvidence wireEvidence;
    wireEvidence.server = server.text();
    wireEvidence.evidence = static_cast<std::int32_t>(evidence);
    if (wire::LaneFrame *frame = outgoing(key))
        frame->evidence.push_back(wireEvidence);
}

void HomePort::connectionOpened(ConnectionKey connection)
{
    m_home.opened(connection, EventLoop::now());
}

void HomePort::connectionRefused(ConnectionKey connection, StatementFault fault)
{
    m_onFault("home_connection_refused", std::string(toString(fault)));
    m_home.refused(connection, fault, EventLoop::now());
}

void HomePort::replyReceived(ConnectionKey connection, const ServerReply &reply)
{
    m_home.replied(connection, reply, EventLoop::now());
}

void HomePort::connectionLost(ConnectionKey connection, Loss loss)
{
    m_onFault("home_connection_lost", loss == Loss::Refused ? "refused" : "closed");
    m_home.lost(connection, loss, EventLoop::now());
}

} // namespace nutmegtide
