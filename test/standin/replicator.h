#pragma once

#include "httpclient.h"
#include "state.h"

#include <thread>

namespace nutmegtide::standin {

// A thread that pulls the primary's log into the state while it has a source.
class Replicator
{
public:
    explicit Replicator(StandinState &state);

private:
    void run(const std::stop_token &stop);
    // Returns whether the primary answered.
    bool pull(const ReplicationSource &source);

    StandinState &m_state;
    HttpClient m_client;
    std::jthread m_thread;
};

} // namespace nutmegtide::standin
