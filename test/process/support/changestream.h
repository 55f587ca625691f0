#pragma once

#include "process/support/httpclient.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace nutmegtide::test {

// An operator who submits one configuration change after another at one VM. Change n has
// the base n - 1 and is sent again under its id until it is accepted; any other decision is a fault.
//
//   ChangeStream changes(fleet.operators("d1"));
//   waitUntil([&] { return changes.accepted() >= 5; }, "five changes");
//   changes.stop();
//   CHECK(changes.fault() == "");
class ChangeStream
{
public:
    explicit ChangeStream(const Endpoint &operators);
    ~ChangeStream() { stop(); }
    ChangeStream(const ChangeStream &) = delete;
    ChangeStream &operator=(const ChangeStream &) = delete;

    // The change on its way may or may not have been accepted.
    void stop();
    // The highest revision that was answered as accepted.
    std::uint64_t accepted() const { return m_accepted; }
    // Empty, or the answer that should not have come.
    std::string fault() const;

    static std::string changeId(std::uint64_t revision);

private:
    void run(const Endpoint &operators);
    // Returns true once the change is decided.
    bool submit(HttpClient &client, std::uint64_t revision);

    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_accepted = 0;
    mutable std::mutex m_mutex;
    std::string m_fault;
    std::thread m_thread;
};

} // namespace nutmegtide::test
