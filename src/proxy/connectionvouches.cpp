#include "nutmegtide/proxy/connectionvouches.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto AskAfter = 10ms; // many connections are closed sooner, as by servers that are full

} // namespace

void ConnectionVouches::opened(Key key, const Target &target, TimePoint now)
{
    m_connections[key] = {target, now, std::nullopt};
    m_unvouched.insert(key);
}

void ConnectionVouches::closed(Key key)
{
    m_connections.erase(key);
    m_unvouched.erase(key);
}

void ConnectionVouches::learn(const OpenChanges &changes, TimePoint now)
{
    std::erase_if(m_unvouched, [&](Key key) {
        Connection &connection = m_connections.at(key);
        const bool isChanging = changes.services.count(connection.target.service) != 0;
        if (isChanging || connection.openedAt > changes.asOf)
            return false;
        connection.vouchedAt = now;
        return true;
    });
}

bool ConnectionVouches::takeReply(Key key, TimePoint sentAt, TimePoint now)
{
    if (!m_isTold)
        return true;
    const auto found = m_connections.find(key);
    if (found == m_connections.end() || !found->second.vouchedAt
        || sentAt < *found->second.vouchedAt)
        return false;
    const Connection &replied = found->second;
    std::erase_if(m_unvouched, [&](Key other) {
        Connection &connection = m_connections.at(other);
        const bool isSameRun = connection.target.server == replied.target.server
                && connection.openedAt >= replied.openedAt && connection.openedAt <= sentAt;
        if (isSameRun)
            connection.vouchedAt = now;
        return isSameRun;
    });
    return true;
}

bool ConnectionVouches::hasVouched(const ServerId &server) const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [&server](const auto &item) {
        return item.second.target.server == server && item.second.vouchedAt;
    });
}

bool ConnectionVouches::isAwaited(TimePoint now) const
{
    return m_isTold && std::any_of(m_unvouched.begin(), m_unvouched.end(), [&](Key key) {
               const Connection &connection = m_connections.at(key);
               return m_services.count(connection.target.service) != 0
                       && now - connection.openedAt >= AskAfter
                       && !hasVouched(connection.target.server);
           });
}

} // namespace nutmegtide
