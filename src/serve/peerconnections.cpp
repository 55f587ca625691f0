#include "serve/peerconnections.h"

#include "base/descriptors.h"
#include "site/sitelog.h"

#include <algorithm>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegtide {

namespace {

using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

constexpr std::size_t HeadBytes = 4;
constexpr int BitsPerByte = 8;
constexpr int LinesPerSecond = 5; // for each reason
// Four frames of the largest size; ordinary ones have some kilobytes.
constexpr std::size_t MostBuffered = 64 * 1024 * 1024; // bytes of all connections together

int openSpare()
{
    return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void closeIfOpen(int descriptor)
{
    if (descriptor >= 0)
        close(descriptor);
}

// Reports what it reads and when it is closed.
class FollowedSocket : public TSocket
{
public:
    FollowedSocket(int socket, std::shared_ptr<PeerConnections> connections)
        : TSocket(socket)
        , m_connections(std::move(connections))
        , m_key(m_connections->add(socket))
    { }
    ~FollowedSocket() override { m_connections->remove(m_key); }

    std::uint32_t read(std::uint8_t *bytes, std::uint32_t most) override
    {
        const std::uint32_t count = TSocket::read(bytes, most);
        m_connections->received(m_key, bytes, count);
        return count;
    }
    std::uint32_t write_partial(const std::uint8_t *bytes, std::uint32_t size) override
    {
        m_connections->answered(m_key);
        return TSocket::write_partial(bytes, size);
    }
    void close() override
    {
        m_connections->remove(m_key);
        TSocket::close();
    }

private:
    const std::shared_ptr<PeerConnections> m_connections;
    const LinkKey m_key;
};

} // namespace

LinkLimitSettings peerLimits(const ConnectionSettings &settings)
{
    LinkLimitSettings limits = linkLimits(settings, mostDescriptors());
    limits.memory = std::min(limits.memory, MostBuffered);
    return limits;
}

PeerConnections::OnLimited peerLimitLog(const LogContext &context)
{
    const auto limiter = std::make_shared<LogRateLimiter>(LinesPerSecond);
    return [context, limiter](const std::string &reason) {
        std::uint64_t suppressed = 0;
        if (!limiter->take(reason, Clock::now(), suppressed))
            return;
        std::vector<LogField> fields {{"reason", reason}};
        if (suppressed > 0)
            fields.push_back({"suppressed", std::to_string(suppressed)});
        logEvent(LogLevel::Warning, "peer_limited", context, fields);
    };
}

PeerConnections::PeerConnections(const LinkLimitSettings &limits, OnLimited onLimited)
    : m_limits(limits, [](LinkKey) { return std::size_t(0); })
    , m_onLimited(std::move(onLimited))
{ }

LinkKey PeerConnections::add(int socket)
{
    const LinkKey key = ++m_last;
    const TimePoint now = Clock::now();
    shutDown(m_limits.takeOverdue(now), "a frame is overdue");
    m_connections[key].socket = socket;
    if (const auto dropped = m_limits.add(key, now))
        shutDown({*dropped},
                 *dropped == key ? "no connection is left"
                                 : "another connection needs the place of one that "
                                   "has sent no frame");
    return key;
}

void PeerConnections::remove(LinkKey connection)
{
    m_limits.remove(connection);
    m_connections.erase(connection);
}

void PeerConnections::received(LinkKey key, const std::uint8_t *bytes, std::size_t count)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    const TimePoint now = Clock::now();
    while (count > 0) {
        if (connection.headBytes < HeadBytes) {
            connection.length = (connection.length << BitsPerByte) | *bytes++;
            ++connection.headBytes;
            --count;
        } else {
            const std::size_t part = std::min(count, connection.length - connection.received);
            connection.received += part;
            bytes += part;
            count -= part;
        }
        const std::size_t size = connection.headBytes + connection.received;
        const bool isWhole = connection.headBytes == HeadBytes
                && connection.received == connection.length;
        // A whole frame stays in its buffer until it is answered.
        m_limits.setIncomplete(key, isWhole ? 0 : size, size, now);
        if (!isWhole)
            continue;
        m_limits.frameTaken(key, now);
        connection = {connection.socket};
    }
    shutDown(m_limits.takeExcess(), "the connections take too much memory, and this one the most");
}

void PeerConnections::answered(LinkKey connection)
{
    m_limits.setIncomplete(connection, 0, 0, Clock::now());
}

void PeerConnections::shutDown(const std::vector<LinkKey> &connections, const std::string &reason)
{
    for (const LinkKey key : connections) {
        const auto found = m_connections.find(key);
        if (found == m_connections.end())
            continue;
        m_onLimited(reason);
        ::shutdown(found->second.socket, SHUT_RDWR);
    }
}

PeerListener::PeerListener(const Endpoint &at, std::shared_ptr<PeerConnections> connections)
    : TNonblockingServerSocket(at.address, at.port)
    , m_connections(std::move(connections))
    , m_spare(openSpare())
{ }

PeerListener::~PeerListener()
{
    closeIfOpen(m_spare);
}

// The server ends its loop for an exception, and closes a socket that isn't open.
std::shared_ptr<TSocket> PeerListener::acceptImpl()
{
    try {
        return TNonblockingServerSocket::acceptImpl();
    } catch (const TTransportException &) {
        refuseOneIfExhausted();
        return std::make_shared<TSocket>();
    }
}

std::shared_ptr<TSocket> PeerListener::createSocket(int client)
{
    return std::make_shared<FollowedSocket>(client, m_connections);
}

void PeerListener::refuseOneIfExhausted()
{
    const int further = openSpare();
    if (further >= 0) {
        closeIfOpen(further);
        return;
    }
    closeIfOpen(m_spare);
    closeIfOpen(::accept4(getSocketFD(), nullptr, nullptr, SOCK_CLOEXEC));
    m_spare = openSpare();
}

} // namespace nutmegtide
