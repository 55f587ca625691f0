#pragma once

#include "process/support/linelistener.h"

#include <atomic>
#include <string>

namespace nutmegtide::test {

// A backend server of a site that leads its service: it takes every statement of the line
// protocol, and answers reads with one row, which is the item if that is long. Each connection has
// a thread.
class LineServer
{
public:
    LineServer(std::string service, std::string id);

    const Endpoint &endpoint() const { return m_listener.endpoint(); }
    // Writes that took effect.
    int commits() const { return m_commits; }
    // Reads that it answered.
    int reads() const { return m_reads; }
    // While it holds, statements get no answer.
    void setHolding(bool isHolding) { m_isHolding = isHolding; }

private:
    // Returns the lines of the answer to one line.
    std::string answer(const std::string &line, char &state);

    const std::string m_service;
    const std::string m_id;
    std::atomic<int> m_commits = 0;
    std::atomic<int> m_reads = 0;
    std::atomic<bool> m_isHolding = false;
    LineListener m_listener;
};

// A caller's connection to an entry VM.
class LineClient
{
public:
    // Throws SocketError.
    explicit LineClient(const Endpoint &to);
    ~LineClient();
    LineClient(const LineClient &) = delete;
    LineClient &operator=(const LineClient &) = delete;

    void send(const std::string &line);
    // Sends a line, unless it is empty, and returns the next one that comes; empty at the end.
    std::string ask(const std::string &line);

private:
    int m_socket;
    std::string m_received;
};

// The body with which a server of the service "db" announces itself.
struct ServerBody
{
    Endpoint address;
    char failureDomain = 'a';
    bool isPrimary = true;
    int sequence = 1;
};
std::string toJson(const ServerBody &body);

// Makes one HTTP request and returns the status; 0 where no answer came.
int statusOf(const Endpoint &at, const std::string &method, const std::string &path,
             const std::string &body);

} // namespace nutmegtide::test
