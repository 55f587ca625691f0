#include "process/support/lineserver.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace nutmegtide::test {

namespace {

constexpr std::chrono::milliseconds AnswerLimit {30'000}; // of a caller's wait for a line
constexpr std::size_t LongItem = 64; // bytes; a longer one is the row that a read of it returns
constexpr std::chrono::milliseconds HoldInterval {10}; // between looks whether the server holds

} // namespace

LineServer::LineServer(std::string service, std::string id)
    : m_service(std::move(service))
    , m_id(std::move(id))
    , m_listener([this] {
        return [this, state = 'I'](const std::string &line) mutable {
            return std::optional(answer(line, state));
        };
    })
{ }

std::string LineServer::answer(const std::string &line, char &state)
{
    const auto contains = [&line](const char *word) { return line.find(word) != std::string::npos; };
    if (line.rfind("START ", 0) == 0 && !contains((' ' + m_id).c_str()))
        return "ERR MISROUTED " + m_id + "\r\n";
    const bool isStatement = contains(" READ ") || contains(" WRITE ");
    while (isStatement && m_isHolding)
        std::this_thread::sleep_for(HoldInterval);
    std::string result;
    if (contains(" STATUS")) {
        const std::string position = "1." + std::to_string(m_commits.load());
        result = "ROW primary 1 " + position + " 0 0 0 1\r\nDONE -\r\n";
    } else if (contains(" READ ")) {
        ++m_reads;
        const std::string item = line.substr(line.rfind(' ') + 1);
        result = "ROW " + (item.size() > LongItem ? item : "row") + "\r\nDONE proof\r\n";
    } else if (contains(" WRITE ") && !contains(" PREPARE ")) {
        m_commits += state == 'I' ? 1 : 0;
        result = "DONE proof\r\n";
    } else if (line.rfind("QUERY", 0) == 0) {
        result = "DONE -\r\n";
    }
    if (contains(" BEGIN"))
        state = 'T';
    if (contains(" COMMIT") || contains(" ROLLBACK"))
        state = 'I';
    return result + "READY " + state + " 1." + std::to_string(m_commits.load()) + "\r\n";
}

LineClient::LineClient(const Endpoint &to)
    : m_socket(connectTo(to))
{
    if (m_socket < 0)
        throw SocketError("no connection to " + toString(to));
}

LineClient::~LineClient()
{
    ::close(m_socket);
}

void LineClient::send(const std::string &line)
{
    sendAll(m_socket, line + "\r\n");
}

std::string LineClient::ask(const std::string &line)
{
    if (!line.empty())
        send(line);
    std::string answer;
    while (!takeLine(m_received, answer)) {
        if (!isReadable(m_socket, AnswerLimit) || !receive(m_socket, m_received))
            return "";
    }
    return answer;
}

std::string toJson(const ServerBody &body)
{
    const nlohmann::json json {{"service", "db"},
                               {"address", toString(body.address)},
                               {"zone", std::string(1, body.failureDomain)},
                               {"version", "v1"},
                               {"slots", 3},
                               {"phase", "ready"},
                               {"coldRemainingMs", 0},
                               {"dbRole", body.isPrimary ? "primary" : "replica"},
                               {"sequence", body.sequence},
                               {"born", 1767225600000}};
    return json.dump();
}

int statusOf(const Endpoint &at, const std::string &method, const std::string &path,
             const std::string &body)
{
    const int socket = connectTo(at);
    if (socket < 0)
        return 0;
    sendAll(socket,
            method + ' ' + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string received;
    std::string line;
    while (!takeLine(received, line)) {
        if (!isReadable(socket, AnswerLimit) || !receive(socket, received))
            break;
    }
    ::close(socket);
    const std::size_t blank = line.find(' ');
    return blank == std::string::npos ? 0 : std::atoi(line.c_str() + blank);
}

} // namespace nutmegtide::test
