#include "process/support/databasegroup.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace nutmegtide::test {

namespace {

const std::string OwnRequest = "-";
constexpr std::size_t LongestTrace = 64 * 1024 * 1024; // bytes; a longer one loses its first half
constexpr int RefusalInterval = 12; // statements; some 8% of them are refused as busy

// Takes the text up to the next blank off.
std::string takeWord(std::string &text)
{
    const std::size_t blank = text.find(' ');
    const std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

} // namespace

DatabaseGroup::DatabaseGroup(int servers)
    : m_servers(static_cast<std::size_t>(servers))
{ }

void DatabaseGroup::refuseSome()
{
    const std::lock_guard lock(m_mutex);
    m_isRefusing = true;
}

std::optional<std::string> DatabaseGroup::answer(Connection &connection, const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const std::optional<std::string> lines = answerLocked(connection, line);
    const std::string shown = lines ? lines->substr(0, lines->size() - 2) : "closed";
    addTrace(id(connection.server) + " \"" + line + "\": " + shown);
    return lines;
}

std::optional<std::string> DatabaseGroup::answerLocked(Connection &connection,
                                                       const std::string &line)
{
    const Server &server = m_servers.at(static_cast<std::size_t>(connection.server));
    if (!server.isUp || (connection.isStarted && connection.life != server.life))
        return std::nullopt;
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "START") {
        connection.isStarted = true;
        connection.life = server.life;
        if (line.find(' ' + id(connection.server)) == std::string::npos)
            return "ERR MISROUTED " + id(connection.server) + "\r\n";
        return ready(connection);
    }
    const std::string request = takeWord(rest);
    return query(connection, request, rest);
}

std::optional<std::string> DatabaseGroup::query(Connection &connection, const std::string &request,
                                                const std::string &text)
{
    Server &server = m_servers[static_cast<std::size_t>(connection.server)];
    std::string rest = text;
    std::string verb = takeWord(rest);
    const bool isForwarded = verb == "READ" || verb == "WRITE" || verb == "COMMIT";
    if (isForwarded && m_expected.count(request) == 0)
        m_violations.push_back("a request that no caller sent: " + request + ' ' + text);
    if (verb == "AFTER") {
        std::string position = takeWord(rest);
        const std::size_t number = std::stoul(position.substr(position.find('.') + 1));
        verb = takeWord(rest);
        if (number > server.received)
            return error(connection, "LAGGING");
    }
    if (isRefused(verb))
        return busy(connection);
    if (verb == "STATUS")
        return standing(connection);
    if (verb == "PAUSE" && std::stoul(rest) > m_term) {
        server.heldTerm = std::max(server.heldTerm, static_cast<std::uint64_t>(std::stoul(rest)));
        return standing(connection);
    }
    if (verb == "RESUME")
        server.heldTerm = 0;
    if (verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
        return standing(connection);
    if (verb == "BEGIN") {
        connection.isReadOnly = rest == "READ";
        if (!connection.isReadOnly && connection.server != m_primary)
            return error(connection, "READONLY");
        connection.state = TransactionState::Open;
        connection.term = m_term;
        connection.writes.clear();
        return done(connection, "-");
    }
    if (verb == "ROLLBACK") {
        connection.state = TransactionState::Idle;
        return done(connection, "-");
    }
    const bool isPlain = connection.state == TransactionState::Open && !connection.isReadOnly;
    if (isPlain && !leads(connection))
        return error(connection, "READONLY");
    if (verb == "READ")
        return read(connection, request, rest);
    if (verb == "WRITE") {
        const std::string key = takeWord(rest);
        const GroupCommit write {request, key, std::stoi(rest)};
        if (connection.server != m_primary)
            return error(connection, "READONLY");
        if (connection.state == TransactionState::Idle)
            return finish(connection, request, {write});
        connection.writes.push_back(write);
        return done(connection, "proof." + request);
    }
    if (verb == "COMMIT") {
        connection.state = TransactionState::Idle;
        return finish(connection, request, connection.writes);
    }
    return done(connection, "-"); // values and prepared statements aren't kept
}

bool DatabaseGroup::leads(const Connection &connection) const
{
    return connection.server == m_primary && connection.term == m_term;
}

// A commit that no replica holds breaks the connection: whether it will be kept isn't known.
std::optional<std::string> DatabaseGroup::finish(Connection &connection, const std::string &request,
                                                 const std::vector<GroupCommit> &writes)
{
    for (const GroupCommit &write : writes) {
        const auto isSame = [&write](const GroupCommit &other) {
            return other.request == write.request;
        };
        if (std::any_of(m_log.begin(), m_log.end(), isSame))
            m_violations.push_back("committed twice: " + write.request);
        m_log.push_back(write);
    }
    if (!writes.empty() && !replicate())
        return std::nullopt;
    return done(connection, "proof." + request);
}

// Gives the primary's log to the replicas. Returns whether one took it.
bool DatabaseGroup::replicate()
{
    bool isHeld = false;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        Server &replica = m_servers[server];
        const bool isPrimary = static_cast<int>(server) == m_primary;
        if (!isPrimary && (!replica.isUp || replica.heldTerm != 0))
            continue;
        replica.received = m_log.size();
        isHeld = isHeld || !isPrimary;
    }
    return isHeld;
}

std::string DatabaseGroup::read(const Connection &connection, const std::string &request,
                                const std::string &key)
{
    const std::size_t held = m_servers[static_cast<std::size_t>(connection.server)].received;
    int value = 0;
    for (std::size_t index = 0; index < std::min(held, m_log.size()); ++index) {
        if (m_log[index].key == key)
            value = m_log[index].value;
    }
    for (const GroupCommit &write : connection.writes) {
        if (connection.state == TransactionState::Open && write.key == key)
            value = write.value;
    }
    return "ROW " + std::to_string(value) + "\r\n" + done(connection, "proof." + request);
}

std::string DatabaseGroup::error(Connection &connection, const std::string &code)
{
    if (connection.state == TransactionState::Open)
        connection.state = TransactionState::Failed;
    return "ERR " + code + ' ' + id(connection.server) + "\r\n" + ready(connection);
}

// The commands between proxies and servers need no slot and are not refused.
bool DatabaseGroup::isRefused(const std::string &verb)
{
    static const std::set<std::string> inSlots {"READ", "WRITE", "BEGIN", "COMMIT"};
    if (!m_isRefusing || inSlots.count(verb) == 0 || ++m_statements % RefusalInterval != 0)
        return false;
    ++m_refused;
    return true;
}

// Unlike other errors, a busy refusal doesn't fail the transaction.
std::string DatabaseGroup::busy(const Connection &connection) const
{
    return "ERR BUSY " + id(connection.server) + "\r\n" + ready(connection);
}

std::string DatabaseGroup::done(const Connection &connection, const std::string &proof) const
{
    return "DONE " + proof + "\r\n" + ready(connection);
}

std::string DatabaseGroup::ready(const Connection &connection) const
{
    const char state = "ITE"[static_cast<std::size_t>(connection.state)];
    const std::size_t held = m_servers[static_cast<std::size_t>(connection.server)].received;
    return std::string("READY ") + state + ' ' + std::to_string(m_term) + '.' + std::to_string(held)
            + "\r\n";
}

std::string DatabaseGroup::standing(const Connection &connection) const
{
    const Server &server = m_servers[static_cast<std::size_t>(connection.server)];
    std::ostringstream row;
    row << "ROW " << (connection.server == m_primary ? "primary" : "replica") << ' ' << m_term
        << ' ' << m_term << '.' << server.received << ' ' << server.heldTerm << " 0 0 1\r\n";
    return row.str() + done(connection, "-");
}

bool DatabaseGroup::promote(int server)
{
    const std::lock_guard lock(m_mutex);
    Server &named = m_servers.at(static_cast<std::size_t>(server));
    if (!named.isUp)
        return false;
    if (server == m_primary)
        return true;
    ++m_promotions;
    addTrace("promoted " + id(server) + ", which holds " + std::to_string(named.received) + " of "
             + std::to_string(m_log.size()));
    m_term = std::max(m_term, named.heldTerm) + (named.heldTerm > m_term ? 0 : 1);
    m_primary = server;
    m_log.resize(named.received);
    for (Server &other : m_servers) {
        other.received = std::min(other.received, m_log.size());
        other.heldTerm = 0;
        if (other.isUp)
            other.received = m_log.size();
    }
    return true;
}

void DatabaseGroup::setUp(int server, bool isUp)
{
    const std::lock_guard lock(m_mutex);
    Server &changed = m_servers.at(static_cast<std::size_t>(server));
    changed.isUp = isUp;
    addTrace(id(server) + (isUp ? " up" : " down"));
    ++changed.life;
    changed.heldTerm = 0;
    if (isUp && server != m_primary)
        changed.received = std::min(m_log.size(),
                                    m_servers[static_cast<std::size_t>(m_primary)].received);
}

bool DatabaseGroup::isUp(int server) const
{
    const std::lock_guard lock(m_mutex);
    return m_servers.at(static_cast<std::size_t>(server)).isUp;
}

bool DatabaseGroup::isPrimary(int server) const
{
    const std::lock_guard lock(m_mutex);
    return m_primary == server;
}

void DatabaseGroup::note(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    addTrace(line);
}

void DatabaseGroup::addTrace(const std::string &line)
{
    if (m_trace.size() > LongestTrace)
        m_trace.erase(0, LongestTrace / 2);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_trace += std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count())
            + ' ';
    for (const char letter : line) {
        if (letter == '\n')
            m_trace += ';';
        if (letter != '\r' && letter != '\n')
            m_trace += letter;
    }
    m_trace += '\n';
}

std::string DatabaseGroup::trace() const
{
    const std::lock_guard lock(m_mutex);
    return m_trace;
}

void DatabaseGroup::expect(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    m_expected.insert(request);
}

int DatabaseGroup::count(const std::string &request) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(
            std::count_if(m_log.begin(), m_log.end(),
                          [&](const GroupCommit &commit) { return commit.request == request; }));
}

std::vector<std::string> DatabaseGroup::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

int DatabaseGroup::refused() const
{
    const std::lock_guard lock(m_mutex);
    return m_refused;
}

int DatabaseGroup::promotions() const
{
    const std::lock_guard lock(m_mutex);
    return m_promotions;
}

} // namespace nutmegtide::test
