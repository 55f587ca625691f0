// A backend server of one database for the scripts of this review: one primary without replicas
// that speaks the platform's line protocol and writes down each statement that it runs.
//
//   databaseserver ADDRESS PORT SERVICE ID RECORD

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace {

const std::string LineEnd = "\r\n";
constexpr std::size_t ReadAtOnce = 65'536; // bytes
constexpr int ArgumentCount = 6;

// Takes the text up to the next blank off.
std::string takeWord(std::string &text)
{
    const std::size_t blank = text.find(' ');
    std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

std::string printable(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n')
            result += "\\n";
        else if (c == '\r')
            result += "\\r";
        else
            result += c;
    }
    return result;
}

// The state of one connection.
struct Connection
{
    char state = 'I';
    std::map<std::string, std::string> prepared; // shapes by name
};

class Database
{
public:
    Database(std::string service, std::string id, const std::string &record)
        : m_service(std::move(service))
        , m_id(std::move(id))
        , m_record(record, std::ios::app)
    { }

    // Returns the lines that answer one line; nothing where the connection ends.
    std::optional<std::string> answer(Connection &connection, const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        std::string rest = line;
        const std::string word = takeWord(rest);
        if (word == "START")
            return start(connection, rest);
        if (word != "QUERY")
            return std::nullopt;
        const std::string request = takeWord(rest);
        return query(connection, request, rest);
    }

private:
    std::string ready(const Connection &connection) const
    {
        return std::string("READY ") + connection.state + " 1." + std::to_string(m_commits)
                + LineEnd;
    }
    std::string done(const Connection &connection, const std::string &proof) const
    {
        return "DONE " + proof + LineEnd + ready(connection);
    }
    std::string error(Connection &connection, const std::string &code) const
    {
        if (connection.state == 'T')
            connection.state = 'E';
        return "ERR " + code + ' ' + m_id + LineEnd + ready(connection);
    }
    std::string start(const Connection &connection, std::string rest) const
    {
        const std::string service = takeWord(rest);
        takeWord(rest); // who connects
        if (service != m_service || (!rest.empty() && rest != m_id))
            return "ERR MISROUTED " + m_id + LineEnd;
        return ready(connection);
    }
    void note(const std::string &request, const std::string &text)
    {
        m_record << "server " << m_id << " runs " << request << ": " << printable(text)
                 << std::endl;
    }
    std::string run(Connection &connection, const std::string &request, const std::string &text,
                    const std::string &row)
    {
        note(request, text);
        if (connection.state == 'I')
            ++m_commits;
        return (row.empty() ? "" : "ROW " + row + LineEnd) + done(connection, "proof." + request);
    }
    std::string query(Connection &connection, const std::string &request, std::string text)
    {
        std::string rest = text;
        std::string verb = takeWord(rest);
        if (verb == "AFTER") {
            takeWord(rest); // this server's log is the only one, so it has every position
            text = rest;
            verb = takeWord(rest);
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            return "ROW primary 1 1." + std::to_string(m_commits) + " 0 0 0 1" + LineEnd
                    + done(connection, "-");
        if (connection.state == 'E' && verb != "ROLLBACK")
            return error(connection, "MALFORMED");
        if (verb == "BEGIN" || verb == "ROLLBACK") {
            connection.state = verb == "BEGIN" ? 'T' : 'I';
            return done(connection, "-");
        }
        if (verb == "COMMIT") {
            connection.state = 'I';
            return run(connection, request, text, "");
        }
        if (verb == "READ")
            return run(connection, request, text, "value of " + printable(rest));
        if (verb == "WRITE")
            return run(connection, request, text, "");
        return prepared(connection, request, text);
    }
    std::string prepared(Connection &connection, const std::string &request, const std::string &text)
    {
        std::string rest = text;
        const std::string verb = takeWord(rest);
        const std::string name = takeWord(rest);
        if (verb == "PREPARE") {
            const std::string access = takeWord(rest);
            if (access != "READ" && access != "WRITE")
                return error(connection, "MALFORMED");
            connection.prepared[name] = rest;
            return done(connection, "-");
        }
        if (verb == "EXEC") {
            const auto shape = connection.prepared.find(name);
            if (shape == connection.prepared.end())
                return error(connection, "NOSTMT");
            return run(connection, request, text + " (shape: " + shape->second + ')', shape->second);
        }
        if (verb == "RESET")
            connection.prepared.clear();
        const bool isKnown = verb == "RESET" || verb == "SET" || verb == "DEALLOC";
        return isKnown ? done(connection, "-") : error(connection, "MALFORMED");
    }

    const std::string m_service;
    const std::string m_id;
    std::mutex m_mutex;
    std::ofstream m_record;
    std::uint64_t m_commits = 0;
};

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Answers the lines of one connection until it ends. A line ends with CR LF and nothing else.
void serve(int socket, Database &database)
{
    Connection connection;
    std::string received;
    std::string chunk(ReadAtOnce, '\0');
    while (true) {
        const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            break;
        received.append(chunk, 0, static_cast<std::size_t>(count));
        bool isOpen = true;
        for (std::size_t end = received.find(LineEnd); isOpen && end != std::string::npos;
             end = received.find(LineEnd)) {
            const std::string line = received.substr(0, end);
            received.erase(0, end + LineEnd.size());
            const std::optional<std::string> lines = database.answer(connection, line);
            isOpen = lines && sendAll(socket, *lines);
        }
        if (!isOpen)
            break;
    }
    close(socket);
}

int listenAt(const char *address, const char *port)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(port, nullptr, 10)));
    inet_pton(AF_INET, address, &at.sin_addr);
    const bool isBound = bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
    return isBound && listen(listener, SOMAXCONN) == 0 ? listener : -1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != ArgumentCount) {
        std::cerr << "databaseserver ADDRESS PORT SERVICE ID RECORD" << std::endl;
        return 2;
    }
    Database database(argv[3], argv[4], argv[5]);
    const int listener = listenAt(argv[1], argv[2]);
    if (listener < 0) {
        std::cerr << "can't listen" << std::endl;
        return 1;
    }
    while (true) {
        const int socket = accept(listener, nullptr, nullptr);
        if (socket >= 0)
            std::thread([socket, &database] { serve(socket, database); }).detach();
    }
}
