#pragma once

#include "process/support/sockets.h"

#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace nutmegtide::test {

// The way that bytes take through a Relay.
enum class Direction {
    ToTarget,
    ToCaller,
};

// A TCP relay on loopback, put between two processes so that a test can cut the
// link. A cut holds bytes back, as a lost network does, and closes nothing; the
// held bytes arrive after heal().
//
//   Relay relay(target);
//   HttpClient client(relay.endpoint());
//   relay.cut(Direction::ToCaller); // requests arrive, answers don't
//   relay.heal();
class Relay
{
public:
    explicit Relay(Endpoint target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    const Endpoint &endpoint() const { return m_listener.endpoint(); }
    void cut();
    void cut(Direction direction);
    void heal();

private:
    // The two sockets of one relayed connection, by Direction: the one to read from.
    struct Link
    {
        std::array<int, 2> source;
    };

    void run();
    void acceptLink();
    // Returns false when the connection is over.
    bool forward(const Link &link, Direction direction) const;
    bool isCut(Direction direction) const { return m_cut[static_cast<std::size_t>(direction)]; }

    Endpoint m_target;
    ReservedPort m_listener;
    std::array<std::atomic<bool>, 2> m_cut {};
    std::atomic<bool> m_stopping = false;
    std::vector<Link> m_links; // only the thread uses it
    std::thread m_thread;
};

} // namespace nutmegtide::test
