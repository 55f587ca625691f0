#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace rig {

struct Address
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

// Returns a listening socket, and sets the port if it is 0. Throws std::runtime_error.
int listenAt(Address &address, int backlog);
// Returns a connected socket, or -1.
int connectTo(const Address &address, std::chrono::milliseconds timeout);
// Starts a connection without waiting for it.
int startConnecting(const Address &address);
// Returns a port that is free at all of the addresses 127.0.0.1 to 127.0.0.9.
std::uint16_t freePort();
// Returns whether the process has a connection to the address that isn't established yet.
bool isConnecting(int process, const Address &to);
bool sendAll(int socket, const std::string &bytes);

// Reads the lines of one connection, which end with CR LF.
class LineReader
{
public:
    explicit LineReader(int socket)
        : m_socket(socket)
    { }

    enum class Result { Line, Timeout, End };
    Result next(std::string &line, std::chrono::milliseconds timeout);

private:
    int m_socket;
    std::string m_received;
};

struct HttpAnswer
{
    int status = 0; // 0 without an answer
    std::string body;
};

HttpAnswer http(const Address &at, const std::string &method, const std::string &path,
                const std::string &body,
                std::chrono::milliseconds timeout = std::chrono::milliseconds(3'000));

} // namespace rig
