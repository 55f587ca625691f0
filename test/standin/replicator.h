#pragma once

#include "httpclient.h"
#include "state.h"

#include <thread>

namespace nutmegtide::standin {

// A thread that pulls the primary's log into the state while it has a source. A
// pull ends at once when the source changes, also from a primary that is silent.
class Replicator
{
public:
    static constexpr std::chrono::milliseconds DefaultPullTimeout {2'000};

    explicit Replicator(StandinState &state,
                        std::chrono::milliseconds pullTimeout = DefaultPullTimeout);

private:
    void run(const std::stop_token &stop);
    // Returns whether the primary answered.
    bool pull(const ReplicationSource &source);

    StandinState &m_state;
    const std::chrono::milliseconds m_pullTimeout;
    HttpClient m_client;
    std::jthread m_thread;
};

} // namespace nutmegtide::standin
