#include "sockets.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace rig {

namespace {

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

int makeSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return socket;
}

bool waitFor(int socket, short event, std::chrono::milliseconds timeout)
{
    pollfd waited {socket, event, 0};
    return ::poll(&waited, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace

int listenAt(Address &address, int backlog)
{
    const int socket = makeSocket();
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in bound = socketAddress(address);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0
        || ::listen(socket, backlog) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen at " + address.text());
    }
    socklen_t size = sizeof bound;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    return socket;
}

int startConnecting(const Address &address)
{
    const int socket = makeSocket();
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    const sockaddr_in target = socketAddress(address);
    [[maybe_unused]] const int result = ::connect(socket,
                                                  reinterpret_cast<const sockaddr *>(&target),
                                                  sizeof target);
    return socket;
}

int connectTo(const Address &address, std::chrono::milliseconds timeout)
{
    const int socket = startConnecting(address);
    int error = 0;
    socklen_t size = sizeof error;
    if (!waitFor(socket, POLLOUT, timeout)
        || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, 0);
    return socket;
}

std::uint16_t freePort()
{
    while (true) {
        Address first;
        std::vector<int> held {listenAt(first, 1)};
        bool isFree = true;
        for (int number = 2; isFree && number <= 9; ++number) {
            Address other {"127.0.0." + std::to_string(number), first.port};
            try {
                held.push_back(listenAt(other, 1));
            } catch (const std::runtime_error &) {
                isFree = false;
            }
        }
        for (const int socket : held)
            ::close(socket);
        if (isFree)
            return first.port;
    }
}

bool isConnecting(int process, const Address &to)
{
    constexpr const char *SynSent = "02";
    std::set<std::string> connecting; // inodes
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string skipped;
        std::string remote;
        std::string state;
        std::string inode;
        words >> skipped >> skipped >> remote >> state;
        for (int word = 0; word < 6; ++word)
            words >> inode;
        const std::size_t colon = remote.find(':');
        if (state == SynSent && std::stoi(remote.substr(colon + 1), nullptr, 16) == to.port)
            connecting.insert("socket:[" + inode + ']');
    }
    if (connecting.empty())
        return false;
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto &file : std::filesystem::directory_iterator(folder, error)) {
        if (connecting.count(std::filesystem::read_symlink(file.path(), error).string()) != 0)
            return true;
    }
    return false;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

LineReader::Result LineReader::next(std::string &line, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const std::size_t end = m_received.find("\r\n");
        if (end != std::string::npos) {
            line = m_received.substr(0, end);
            m_received.erase(0, end + 2);
            return Result::Line;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                until - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !waitFor(m_socket, POLLIN, left))
            return Result::Timeout;
        char bytes[4096];
        const ssize_t count = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return Result::End;
        m_received.append(bytes, static_cast<std::size_t>(count));
    }
}

HttpAnswer http(const Address &at, const std::string &method, const std::string &path,
                const std::string &body, std::chrono::milliseconds timeout)
{
    HttpAnswer answer;
    const int socket = connectTo(at, timeout);
    if (socket < 0)
        return answer;
    sendAll(socket,
            method + ' ' + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string received;
    char bytes[4096];
    while (waitFor(socket, POLLIN, timeout)) {
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            break;
        received.append(bytes, static_cast<std::size_t>(count));
    }
    ::close(socket);
    const std::size_t blank = received.find(' ');
    const std::size_t bodyAt = received.find("\r\n\r\n");
    if (blank != std::string::npos && bodyAt != std::string::npos) {
        answer.status = std::atoi(received.c_str() + blank);
        answer.body = received.substr(bodyAt + 4);
    }
    return answer;
}

} // namespace rig
