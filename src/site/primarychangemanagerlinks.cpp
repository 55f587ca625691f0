// The connections of PrimaryChangeManager to backend servers.
#include "site/primarychangemanager.h"

namespace nutmegtide {

namespace {

constexpr auto LinkRetryTime = 1s; // between attempts to connect to a server
constexpr auto LinkAnswerTimeout = 300ms; // a server silent for longer counts as unreachable
constexpr auto ResumeTime = 1s; // links stay open this long after a change for the last commands

} // namespace

void PrimaryChangeManager::ask(const ServiceName &service, const ServerId &server,
                               ServerCommandKind kind, Term term)
{
    Group &group = m_groups[service];
    ServerCommand command;
    command.kind = kind;
    command.term = term;
    const TimePoint now = EventLoop::now();
    const auto known = group.links.find(server);
    if (known != group.links.end()) {
        Link &link = m_links.at(known->second);
        if (!link.isOpen) {
            link.queued.push_back(command);
            return;
        }
        sendOn(known->second, link, command, now);
        return;
    }
    if (m_announcements.count(server) == 0) {
        // Listed in the roster, but not heard of since this VM started.
        m_loop.post([this, service, server] {
            Group &named = m_groups[service];
            if (!named.change)
                return;
            perform(service, named.change->onUnreachable(server, EventLoop::now()));
            afterStep(service);
        });
        return;
    }
    m_links.at(openLink(service, server, now)).queued.push_back(command);
}

void PrimaryChangeManager::sendOn(ConnectionKey key, Link &link, const ServerCommand &command,
                                  TimePoint now)
{
    if (link.sent.empty())
        link.activeAt = now;
    link.sent.push_back(command);
    link.sentAt.push_back(now);
    m_serverLinks->send(key, {command});
}

ConnectionKey PrimaryChangeManager::openLink(const ServiceName &service, const ServerId &server,
                                             TimePoint now)
{
    const ConnectionKey key = ++m_lastKey;
    Link &link = m_links[key];
    link.service = service;
    link.server = server;
    link.activeAt = now;
    m_groups[service].links[server] = key;
    m_serverLinks->open(key, m_announcements[server], {});
    return key;
}

void PrimaryChangeManager::connectionOpened(ConnectionKey connection)
{
    const auto found = m_links.find(connection);
    if (found == m_links.end())
        return;
    Link &link = found->second;
    link.isOpen = true;
    link.activeAt = EventLoop::now();
    link.sent = std::exchange(link.queued, {});
    link.sentAt.assign(link.sent.size(), link.activeAt);
    m_serverLinks->send(connection, {link.sent.begin(), link.sent.end()});
}

void PrimaryChangeManager::connectionRefused(ConnectionKey connection, StatementFault fault)
{
    failLink(connection,
             fault == StatementFault::Misrouted ? LinkFault::Gone
                     : isCapacityRefusal(fault) ? LinkFault::Overloaded
                                                : LinkFault::Unreachable);
}

void PrimaryChangeManager::connectionLost(ConnectionKey connection, Loss /*loss*/)
{
    failLink(connection, LinkFault::Unreachable);
}

void PrimaryChangeManager::replyReceived(ConnectionKey connection, const ServerReply &reply)
{
    const auto found = m_links.find(connection);
    if (found == m_links.end() || found->second.sent.empty())
        return failLink(connection, LinkFault::Unreachable);
    Link &link = found->second;
    link.activeAt = EventLoop::now();
    const ServerCommand command = link.sent.front();
    const TimePoint askedAt = link.sentAt.front();
    link.sent.pop_front();
    link.sentAt.pop_front();
    const ServiceName service = link.service;
    const ServerId server = link.server;
    const std::optional<ServerReplicationStatus> status = readReplicationStatus(reply);
    if (!status) {
        // A busy server is alive; it is asked again until it has a free slot.
        link.sent.push_back(command);
        link.sentAt.push_back(link.activeAt);
        m_serverLinks->send(connection, {command});
        return;
    }
    noteStatus(service, server, *status, askedAt);
    Group &group = m_groups[service];
    if (!group.change)
        return;
    perform(service, group.change->onStatus(server, *status, EventLoop::now()));
    afterStep(service);
}

void PrimaryChangeManager::failLink(ConnectionKey key, LinkFault fault)
{
    const auto found = m_links.find(key);
    if (found == m_links.end())
        return;
    const Link link = std::move(found->second);
    m_links.erase(found);
    m_serverLinks->close(key);
    Group &group = m_groups[link.service];
    group.links.erase(link.server);
    const TimePoint now = EventLoop::now();
    const auto announced = m_announcements.find(link.server);
    if (fault == LinkFault::Gone && announced != m_announcements.end())
        m_vacatedAddresses[link.server] = announced->second;
    if (!group.change) {
        // A broken connection is reported like a complaint of an entry VM. A status that a busy
        // server owes is not.
        const bool owesStatus = fault == LinkFault::Silent && !link.sent.empty()
                && link.sent.front().kind == ServerCommandKind::Status;
        if (link.isOpen && m_isLeading && !owesStatus)
            m_trigger.complain({m_identity.vm.text(), link.service, link.server, 0ms}, now);
        return;
    }
    if (fault == LinkFault::Gone)
        perform(link.service, group.change->onGone(link.server, now));
    else if (fault == LinkFault::Overloaded)
        perform(link.service, group.change->onOverloaded(link.server, now));
    else
        perform(link.service, group.change->onUnreachable(link.server, now));
    afterStep(link.service);
}

void PrimaryChangeManager::checkLinks(TimePoint now)
{
    std::vector<ConnectionKey> silent;
    for (const auto &[key, link] : m_links) {
        const bool isWaiting = !link.isOpen || !link.sent.empty();
        const bool isUnused = !isWaiting && !m_isLeading && now - link.activeAt > ResumeTime;
        if (isUnused || (isWaiting && now - link.activeAt > LinkAnswerTimeout))
            silent.push_back(key);
    }
    for (const ConnectionKey key : silent)
        failLink(key, LinkFault::Silent);
}

void PrimaryChangeManager::maintainLinks(TimePoint now)
{
    for (const auto &[server, announcement] : m_announcements) {
        const Group &group = m_groups[announcement.service];
        if (group.links.count(server) != 0 || now - m_triedAt[server] < LinkRetryTime)
            continue;
        m_triedAt[server] = now;
        openLink(announcement.service, server, now);
    }
}

} // namespace nutmegtide
