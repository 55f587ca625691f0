#include "site/proofcollector.h"

#include "nutmegtide/proxy/positionproofs.h"

#include <utility>

namespace nutmegtide {

namespace {

constexpr auto ProofInterval = 250ms; // between proofs of one service
constexpr auto AnswerTime = 500ms; // a connection without an answer for longer is closed
constexpr auto ReopenTime = 1s; // between connections to one service's primary

// Returns the server of each service that states itself to be primary; of two, the one that control
// confirmed in the later term.
std::map<ServiceName, ServerAnnouncement> primariesOf(const std::vector<ServerRecord> &servers)
{
    std::map<ServiceName, const ServerRecord *> best;
    for (const ServerRecord &record : servers) {
        if (!record.announcement.isPrimary || record.isGone)
            continue;
        const ServerRecord *&known = best[record.announcement.service];
        if (known == nullptr || record.confirmedTerm > known->confirmedTerm)
            known = &record;
    }
    std::map<ServiceName, ServerAnnouncement> primaries;
    for (const auto &[service, record] : best)
        primaries[service] = record->announcement;
    return primaries;
}

} // namespace

ProofCollector::ProofCollector(const MakeLinks &makeLinks, ProofCache &cache)
    : m_cache(cache)
    , m_links(makeLinks(*this))
{ }

void ProofCollector::tick(const std::vector<ServerRecord> &servers, TimePoint now)
{
    const std::map<ServiceName, ServerAnnouncement> primaries = primariesOf(servers);
    std::map<ServiceName, ServerAnnouncement> wanted;
    for (const ServiceName &service : m_cache.wanted(now)) {
        const auto primary = primaries.find(service);
        if (primary != primaries.end())
            wanted[service] = primary->second;
    }
    std::vector<ConnectionKey> useless;
    for (const auto &[key, link] : m_connections) {
        const auto primary = wanted.find(link.service);
        const bool isWanted = primary != wanted.end() && primary->second.server == link.server;
        const bool isWaiting = !link.isOpen || link.unanswered > 0;
        if (!isWanted || (isWaiting && now - link.sentAt > AnswerTime))
            useless.push_back(key);
    }
    for (const ConnectionKey key : useless)
        close(key);
    for (const auto &[key, link] : m_connections) {
        if (link.isOpen && link.unanswered == 0 && now - link.askedAt >= ProofInterval)
            ask(key, now);
        wanted.erase(link.service);
    }
    for (const auto &[service, primary] : wanted)
        open(primary, now);
}

void ProofCollector::closeAll()
{
    while (!m_connections.empty())
        close(m_connections.begin()->first);
}

void ProofCollector::open(const ServerAnnouncement &primary, TimePoint now)
{
    const auto before = m_openedAt.find(primary.service);
    if (before != m_openedAt.end() && now - before->second < ReopenTime)
        return;
    m_openedAt[primary.service] = now;
    const ConnectionKey key = ++m_lastKey;
    Connection &link = m_connections[key];
    link.service = primary.service;
    link.server = primary.server;
    link.sentAt = now;
    m_links->open(key, primary, {});
}

void ProofCollector::ask(ConnectionKey key, TimePoint now)
{
    Connection &link = m_connections.at(key);
    link.sentAt = now;
    link.askedAt = now;
    link.isBeginDue = true;
    const std::vector<ServerCommand> commands = proofCommands();
    link.unanswered = static_cast<int>(commands.size());
    m_links->send(key, commands);
}

void ProofCollector::close(ConnectionKey key)
{
    m_connections.erase(key);
    m_links->close(key);
}

void ProofCollector::connectionOpened(ConnectionKey connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end())
        found->second.isOpen = true;
}

void ProofCollector::connectionRefused(ConnectionKey connection, StatementFault /*fault*/)
{
    close(connection); // opened again when the next proof is due
}

void ProofCollector::connectionLost(ConnectionKey connection, Loss /*loss*/)
{
    close(connection);
}

void ProofCollector::replyReceived(ConnectionKey connection, const ServerReply &reply)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    Connection &link = found->second;
    const bool isBegin = std::exchange(link.isBeginDue, false);
    if (link.unanswered > 0)
        --link.unanswered;
    if (!isBegin)
        return;
    if (reply.fault)
        return close(connection);
    m_cache.put(link.service, link.askedAt, reply.position.value_or(LogPosition {}));
}

} // namespace nutmegtide
