#pragma once

#include "record.h"
#include "sockets.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// What a client was told of one single write.
enum class Told { Acknowledged, NothingKept, Unknown };

// Sessions of clients, each with a thread: single reads and writes with pauses between them.
class Clients
{
public:
    struct Settings
    {
        std::string database;
        int sessions = 1;
        int writePercent = 20;
        std::chrono::milliseconds pause {300};
        std::chrono::milliseconds budget {1000}; // for the answer to a statement
        // Where the infrastructure sends a session's next connection.
        std::function<Address(int session)> ingress;
    };

    Clients(Settings settings, Record &record);
    ~Clients();
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    int served() const { return m_served; }
    std::vector<std::string> acknowledged() const;
    std::vector<std::string> nothingKept() const;

private:
    void run(int session);
    // Runs statements until the connection ends.
    void converse(int session, int socket, unsigned &random);
    void note(const std::string &request, Told told);

    const Settings m_settings;
    Record &m_record;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_number = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_acknowledged;
    std::vector<std::string> m_nothingKept;
    std::vector<std::thread> m_threads;
};

} // namespace rig
