#include "databases.h"

#include <chrono>
#include <csignal>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rig {

using namespace std::chrono_literals;

namespace {

constexpr auto HeartbeatInterval = 1200ms;
constexpr auto WorkTime = 8ms; // of a statement
// A connection whose remote end is unreachable is dropped after this.
constexpr auto UnreachableTime = 3s;
constexpr auto Tick = 10ms;
constexpr int Backlog = 1;
constexpr int Fillers = 6; // connections that fill the queue of a dark server
constexpr int OpenBacklog = 256;

std::string takeWord(std::string &text)
{
    const std::size_t blank = text.find(' ');
    std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

std::string header(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find(name + ": ");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Returns the value of a text field of a flat JSON object.
std::string field(const std::string &body, const std::string &name)
{
    const std::size_t at = body.find('"' + name + '"');
    if (at == std::string::npos)
        return "";
    const std::size_t begin = body.find('"', body.find(':', at)) + 1;
    return body.substr(begin, body.find('"', begin) - begin);
}

} // namespace

Databases::Databases(std::string service, int servers, int slots, Record &record)
    : m_service(std::move(service))
    , m_slots(slots)
    , m_record(record)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (int number = 0; number < servers; ++number) {
        m_servers.push_back(std::make_unique<Server>());
        Server &server = *m_servers.back();
        server.listener = listenAt(server.address, OpenBacklog);
        start(std::thread([this, number] { accept(number); }));
    }
    m_promotionsListener = listenAt(m_promotions, OpenBacklog);
    start(std::thread([this] { takeOrders(); }));
}

Databases::~Databases()
{
    m_isStopping = true;
    m_changed.notify_all();
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_threadsMutex);
        threads.swap(m_threads);
    }
    for (std::thread &thread : threads)
        thread.join();
    for (const auto &server : m_servers)
        ::close(server->listener);
    ::close(m_promotionsListener);
}

void Databases::start(std::thread thread)
{
    const std::lock_guard lock(m_threadsMutex);
    m_threads.push_back(std::move(thread));
}

void Databases::announceTo(std::vector<Address> controls)
{
    m_controls = std::move(controls);
    start(std::thread([this] { announce(); }));
}

int Databases::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_primary;
}

int Databases::count(const std::string &request) const
{
    const std::lock_guard lock(m_mutex);
    int found = 0;
    for (const Entry &entry : m_log)
        found += entry.request == request ? 1 : 0;
    return found;
}

// The queue of new connections is filled, so that further ones get no answer at all.
void Databases::setDark(int number, bool isDark)
{
    Server &server = *m_servers.at(static_cast<std::size_t>(number));
    m_record.add("server " + id(number) + (isDark ? " is dark" : " is back"));
    if (isDark) {
        server.isDark = true;
        std::this_thread::sleep_for(2 * Tick);
        ::listen(server.listener, Backlog);
        for (int filler = 0; filler < Fillers; ++filler)
            server.fillers.push_back(startConnecting(server.address));
        return;
    }
    ::listen(server.listener, OpenBacklog);
    for (const int filler : server.fillers)
        ::close(filler);
    server.fillers.clear();
    server.isDark = false;
}

void Databases::setCut(int number, bool isCut)
{
    m_servers.at(static_cast<std::size_t>(number))->isCut = isCut;
    m_record.add("server " + id(number) + (isCut ? " is cut off from" : " reaches")
                 + " the control VMs and front-" + std::to_string(number));
}

void Databases::crash(int number)
{
    Server &server = *m_servers.at(static_cast<std::size_t>(number));
    const std::lock_guard lock(m_mutex);
    server.isDown = true;
    ++server.life;
    m_record.add("server " + id(number) + " crashes");
}

void Databases::restart(int number)
{
    Server &server = *m_servers.at(static_cast<std::size_t>(number));
    const std::lock_guard lock(m_mutex);
    server.heldTerm = 0;
    server.sequence = 0;
    server.isDown = false;
    replicate();
    m_record.add("server " + id(number) + " is started again and has received "
                 + std::to_string(server.received) + " commits");
}

void Databases::accept(int number)
{
    Server &server = *m_servers[static_cast<std::size_t>(number)];
    while (!m_isStopping) {
        pollfd waited {server.listener, POLLIN, 0};
        if (server.isDark || ::poll(&waited, 1, static_cast<int>(Tick.count())) <= 0) {
            if (server.isDark)
                std::this_thread::sleep_for(Tick);
            continue;
        }
        if (server.isDark)
            continue;
        const int socket = ::accept4(server.listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0 && server.isDown)
            ::close(socket);
        else if (socket >= 0)
            start(std::thread([this, number, socket] { serve(number, socket); }));
    }
}

// Returns false if the server was dark for so long that its connections were given up.
bool Databases::waitWhileDark(const Server &server) const
{
    const auto until = std::chrono::steady_clock::now() + UnreachableTime;
    while (server.isDark && !m_isStopping) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(Tick);
    }
    return true;
}

void Databases::serve(int number, int socket)
{
    const Server &server = *m_servers[static_cast<std::size_t>(number)];
    Connection connection;
    connection.server = number;
    connection.socket = socket;
    LineReader reader(socket);
    std::string line;
    const int life = server.life;
    while (!m_isStopping && server.life == life) {
        const LineReader::Result result = reader.next(line, Tick);
        if (result == LineReader::Result::End || server.life != life)
            break;
        if (result == LineReader::Result::Timeout && waitWhileDark(server))
            continue;
        if (result == LineReader::Result::Timeout)
            break;
        if (!waitWhileDark(server))
            break;
        // The entry VM in the server's zone is its home.
        if (line.rfind("START ", 0) == 0)
            connection.isCut = line.find(" control ") != std::string::npos
                    || line.find(" front-" + std::to_string(number) + ' ') != std::string::npos;
        if (connection.isCut && server.isCut)
            continue;
        const std::string lines = answer(connection, line);
        if (server.life != life)
            break;
        if (!waitWhileDark(server) || lines.empty() || !sendAll(socket, lines)
            || lines.rfind("ERR MISROUTED", 0) == 0)
            break;
    }
    const linger reset {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(socket);
}

std::string Databases::answer(Connection &connection, const std::string &line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "START") {
        const std::string service = takeWord(rest);
        takeWord(rest);
        if (service != m_service || (!rest.empty() && rest != id(connection.server)))
            return "ERR MISROUTED " + id(connection.server) + "\r\n";
        const std::lock_guard lock(m_mutex);
        return ready(connection);
    }
    if (word != "QUERY")
        return "";
    const std::string request = takeWord(rest);
    return query(connection, request, rest);
}

std::string Databases::query(Connection &connection, const std::string &request, std::string text)
{
    const std::string whole = text;
    std::string verb = takeWord(text);
    if (verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "AFTER")
        std::this_thread::sleep_for(verb == "AFTER" ? 0ms : WorkTime);
    std::unique_lock lock(m_mutex);
    Server &server = *m_servers[static_cast<std::size_t>(connection.server)];
    if (request != "-")
        m_record.add("server " + id(connection.server) + " runs " + request + ' ' + whole);
    if (verb == "AFTER") {
        const std::string position = takeWord(text);
        const std::uint64_t term = std::stoull(position);
        const std::size_t number = std::stoull(position.substr(position.find('.') + 1));
        verb = takeWord(text);
        if (term > m_term || number > server.received)
            return refuse(connection, "LAGGING");
    }
    if (verb == "STATUS")
        return status(connection);
    if (verb == "PAUSE") {
        const std::uint64_t term = std::stoull(text);
        if (term > m_term && connection.server != m_primary)
            server.heldTerm = std::max(server.heldTerm, term);
        m_record.add("server " + id(connection.server) + " is held");
        return status(connection);
    }
    if (verb == "RESUME") {
        server.heldTerm = 0;
        replicate();
        return status(connection);
    }
    if (verb == "DEMOTE")
        return status(connection);
    if (verb == "BEGIN") {
        connection.isReadOnly = text == "READ";
        if (!connection.isReadOnly && connection.server != m_primary)
            return refuse(connection, "READONLY");
        connection.state = 'T';
        connection.term = m_term;
        connection.writes.clear();
        return done(connection, "-");
    }
    if (verb == "ROLLBACK") {
        connection.state = 'I';
        return done(connection, "-");
    }
    const bool isPlain = connection.state == 'T' && !connection.isReadOnly;
    const bool leads = connection.server == m_primary
            && (connection.state == 'I' || connection.term == m_term);
    if (isPlain && !leads)
        return refuse(connection, "READONLY");
    if (verb == "READ")
        return read(connection, request, text);
    if (verb == "WRITE") {
        if (!leads)
            return refuse(connection, "READONLY");
        const std::string item = takeWord(text);
        const Entry entry {m_term, request, item, text};
        if (connection.state == 'T') {
            connection.writes.push_back(entry);
            return done(connection, "proof." + request);
        }
        lock.unlock();
        return commit(connection, {entry});
    }
    if (verb == "COMMIT") {
        connection.state = 'I';
        lock.unlock();
        return commit(connection, std::exchange(connection.writes, {}));
    }
    return done(connection, "-"); // values and prepared statements aren't kept
}

// Waits until one replica has received the commit.
std::string Databases::commit(Connection &connection, std::vector<Entry> writes)
{
    std::unique_lock lock(m_mutex);
    const std::string proof = "proof." + std::to_string(m_log.size());
    if (writes.empty())
        return done(connection, proof);
    const std::uint64_t term = m_term;
    if (connection.server != m_primary)
        return refuse(connection, "READONLY");
    for (Entry &entry : writes) {
        m_record.add("commit of " + entry.request + " as " + std::to_string(term) + '.'
                     + std::to_string(m_log.size() + 1));
        m_log.push_back(std::move(entry));
    }
    const std::size_t length = m_log.size();
    m_servers[static_cast<std::size_t>(connection.server)]->received = length;
    replicate();
    const auto isReceived = [&] {
        int holders = 0;
        for (std::size_t number = 0; number < m_servers.size(); ++number)
            holders += m_servers[number]->received >= length ? 1 : 0;
        return holders > 1;
    };
    m_changed.wait(lock, [&] { return m_isStopping || m_term != term || isReceived(); });
    if (m_term != term || !isReceived())
        return "";
    return done(connection, proof);
}

// Gives the primary's log to the replicas that may receive it.
void Databases::replicate()
{
    if (m_servers[static_cast<std::size_t>(m_primary)]->isDark)
        return;
    for (const auto &server : m_servers) {
        if (!server->isDark && !server->isDown && server->heldTerm == 0)
            server->received = m_log.size();
    }
    m_changed.notify_all();
}

std::string Databases::read(const Connection &connection, const std::string &request,
                            const std::string &item)
{
    const std::size_t held = m_servers[static_cast<std::size_t>(connection.server)]->received;
    std::string data = "-";
    for (std::size_t index = 0; index < held; ++index) {
        if (m_log[index].item == item)
            data = m_log[index].data;
    }
    for (const Entry &write : connection.writes) {
        if (connection.state == 'T' && write.item == item)
            data = write.data;
    }
    return "ROW " + data + "\r\n" + done(connection, "proof." + request);
}

std::string Databases::done(const Connection &connection, const std::string &proof) const
{
    return "DONE " + proof + "\r\n" + ready(connection);
}

std::string Databases::refuse(Connection &connection, const std::string &code) const
{
    if (connection.state == 'T')
        connection.state = 'E';
    return "ERR " + code + ' ' + id(connection.server) + "\r\n" + ready(connection);
}

std::uint64_t Databases::termAt(std::size_t length) const
{
    return length == 0 ? 1 : m_log[length - 1].term;
}

std::string Databases::ready(const Connection &connection) const
{
    const std::size_t held = m_servers[static_cast<std::size_t>(connection.server)]->received;
    const std::uint64_t term = connection.server == m_primary ? m_term : termAt(held);
    return std::string("READY ") + connection.state + ' ' + std::to_string(term) + '.'
            + std::to_string(held) + "\r\n";
}

std::string Databases::status(const Connection &connection) const
{
    const Server &server = *m_servers[static_cast<std::size_t>(connection.server)];
    std::ostringstream row;
    row << "ROW " << (connection.server == m_primary ? "primary" : "replica") << ' ' << m_term
        << ' ' << termAt(server.received) << '.' << server.received << ' ' << server.heldTerm
        << " 0 0 1\r\n";
    return row.str() + done(connection, "-");
}

void Databases::announce()
{
    auto next = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        for (std::size_t number = 0; number < m_servers.size(); ++number) {
            Server &server = *m_servers[number];
            if (server.isDark || server.isDown || server.isCut)
                continue;
            std::ostringstream body;
            const std::uint64_t sequence = ++server.sequence;
            body << R"({"service":")" << m_service << R"(","address":")" << server.address.text()
                 << R"(","zone":"zone-)" << static_cast<char>('a' + number)
                 << R"(","version":"v1","slots":)" << m_slots
                 << R"(,"phase":"ready","coldRemainingMs":0,"dbRole":")"
                 << (static_cast<int>(number) == primary() ? "primary" : "replica")
                 << R"(","sequence":)" << sequence << R"(,"born":)"
                 << 1'767'225'600'000 + server.life << '}';
            for (std::size_t offset = 0; offset < m_controls.size(); ++offset) {
                const Address &control = m_controls[(number + offset) % m_controls.size()];
                const std::string path = "/instances/" + id(static_cast<int>(number));
                if (http(control, "PUT", path, body.str(), 1000ms).status == 200)
                    break;
            }
        }
        next += HeartbeatInterval;
        while (!m_isStopping && std::chrono::steady_clock::now() < next)
            std::this_thread::sleep_for(Tick);
    }
}

void Databases::takeOrders()
{
    while (!m_isStopping) {
        pollfd waited {m_promotionsListener, POLLIN, 0};
        if (::poll(&waited, 1, 50) <= 0)
            continue;
        const int socket = ::accept4(m_promotionsListener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        start(std::thread([this, socket] {
            std::string received;
            char bytes[4096];
            while (received.find("\r\n\r\n") == std::string::npos || received.back() != '}') {
                const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
                if (count <= 0)
                    break;
                received.append(bytes, static_cast<std::size_t>(count));
            }
            const std::size_t bodyAt = received.find("\r\n\r\n");
            const int result = bodyAt == std::string::npos
                    ? 400
                    : promote(received.substr(0, bodyAt + 2), received.substr(bodyAt + 4));
            sendAll(socket,
                    "HTTP/1.1 " + std::to_string(result)
                            + " x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
            ::close(socket);
        }));
    }
}

// The named server leads the next term a while after the call, with what it has received then.
int Databases::promote(const std::string &head, const std::string &body)
{
    const std::uint64_t token = std::stoull(header(head, "Nutmegtide-Fencing-Token"));
    const std::string server = field(body, "id");
    m_record.add("POST /promotions " + server + " token " + std::to_string(token));
    const int number = std::stoi(server.substr(2));
    {
        const std::lock_guard lock(m_mutex);
        if (token < m_highestToken || m_servers.at(static_cast<std::size_t>(number))->isDark)
            return 409;
        m_highestToken = token;
        m_orderedServer = number;
        ++m_orderCount;
        if (number == m_primary)
            return 200;
    }
    start(std::thread([this, number] {
        std::this_thread::sleep_for(m_promoteTime.load());
        const std::lock_guard lock(m_mutex);
        m_primary = number;
        ++m_term;
        ++m_promotionCount;
        m_log.resize(m_servers[static_cast<std::size_t>(number)]->received);
        m_record.add("server " + id(number) + " leads term " + std::to_string(m_term) + " with "
                     + std::to_string(m_log.size()) + " commits");
        for (const auto &other : m_servers) {
            other->heldTerm = 0;
            other->received = std::min(other->received, m_log.size());
        }
        replicate();
    }));
    return 200;
}

} // namespace rig
