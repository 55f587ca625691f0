#include "serve/peerserver.h"

#include "serve/peerclient.h"

#include <doctest/doctest.h>
#include <future>

using namespace nutmegtide;
using namespace std::chrono_literals;

namespace {

// A service whose handshake takes a while, so that a stop can fall into it.
class SlowService : public wire::PeerNull
{
public:
    void handshake(wire::Header &, const wire::Header &) override
    {
        m_entered.set_value();
        std::this_thread::sleep_for(50ms);
        m_ended = true;
    }
    void waitForCall() { m_entered.get_future().wait(); }
    bool hasEnded() const { return m_ended; }

private:
    std::promise<void> m_entered;
    std::atomic<bool> m_ended = false;
};

} // namespace

TEST_CASE("a peer server's stop waits for the call that runs")
{
    const auto service = std::make_shared<SlowService>();
    PeerServer server({"127.0.0.1", 0}, PeerServer::Options(), service);
    const auto caller = std::async(std::launch::async, [&] {
        PeerConnection connection(server.bound(), 5s);
        connection.setTimeout(200ms);
        wire::Header reply;
        CHECK_THROWS(connection.client().handshake(reply, wire::Header()));
    });
    service->waitForCall();
    server.stop();
    CHECK(service->hasEnded());
    caller.wait();
}
