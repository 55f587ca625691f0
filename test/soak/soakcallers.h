#pragma once

#include "process/support/databasegroup.h"
#include "process/support/lineserver.h"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <thread>

namespace nutmegtide::test {

// One caller of a soak: it writes ascending values under a key of its own, reads them back, alone
// and in transactions, and checks what it is told. It goes to another entry VM when its
// connection ends.
class SoakCaller
{
public:
    // Chooses the entry VM for the next connection.
    using Choose = std::function<Endpoint()>;

    SoakCaller(int number, std::uint64_t seed, DatabaseGroup &group, Choose choose);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void stop() { m_isStopping = true; }
    // After stop() and the end of the thread.
    void join();

    int served() const { return m_served; }
    const std::set<std::string> &acknowledged() const { return m_acknowledged; }
    const std::set<std::string> &promisedNotRun() const { return m_promisedNotRun; }
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    enum class Outcome { Done, Refused, Unknown };
    struct Answer
    {
        Outcome outcome = Outcome::Unknown;
        std::string row;
    };

    void run();
    bool connect();
    Answer ask(const std::string &statement, std::string &request);
    void write();
    void read();
    void transaction();
    // The lines that answer are for the trace.
    Answer exchange(const std::string &statement, std::string &request, std::string &lines);
    void settle(const std::vector<std::string> &requests, Outcome outcome, int value);
    void checkRead(const std::string &row, int least);

    const int m_number;
    DatabaseGroup &m_group;
    const Choose m_choose;
    std::mt19937_64 m_generator;
    std::unique_ptr<LineClient> m_client;
    int m_requests = 0;
    int m_value = 0; // written last
    int m_leastValue = 0; // that a read must bring: acknowledged to this session
    std::atomic<int> m_served = 0;
    std::set<std::string> m_acknowledged;
    std::set<std::string> m_promisedNotRun;
    std::vector<std::string> m_violations;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide::test
