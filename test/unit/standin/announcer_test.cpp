#include "standin/announcer.h"

#include <civetweb.h>
#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::standin;

namespace {

constexpr std::chrono::milliseconds Patience = 10s;

// A proxy that keeps the announcements that it gets.
class FakeProxy
{
public:
    FakeProxy()
    {
        const char *settings[] = {"listening_ports", "127.0.0.1:0", "num_threads", "4", nullptr};
        m_context = mg_start(nullptr, nullptr, settings);
        mg_set_request_handler(m_context, "/v1/announce", answer, this);
    }
    ~FakeProxy() { mg_stop(m_context); }
    FakeProxy(const FakeProxy &) = delete;
    FakeProxy &operator=(const FakeProxy &) = delete;

    Endpoint address() const
    {
        mg_server_port port = {};
        mg_get_server_ports(m_context, 1, &port);
        return {"127.0.0.1", static_cast<std::uint16_t>(port.port)};
    }
    void setReply(const AnnouncementReply &reply)
    {
        const std::lock_guard lock(m_mutex);
        m_reply = reply;
    }
    bool hears(Term term)
    {
        std::unique_lock lock(m_mutex);
        return m_heard.wait_for(lock, Patience, [&] { return m_last.term == term; });
    }
    bool hearsTimes(int times)
    {
        std::unique_lock lock(m_mutex);
        return m_heard.wait_for(lock, Patience, [&] { return m_times >= times; });
    }

    bool isGranted(const ShareGrant &grant)
    {
        std::unique_lock lock(m_mutex);
        return m_heard.wait_for(lock, Patience, [&] { return m_last.grant == grant; });
    }

private:
    static int answer(mg_connection *connection, void *self)
    {
        auto *proxy = static_cast<FakeProxy *>(self);
        std::string body(8192, '\0');
        body.resize(static_cast<std::size_t>(mg_read(connection, body.data(), body.size())));
        const std::lock_guard lock(proxy->m_mutex);
        proxy->m_last = parseMessage<Announcement>(body);
        ++proxy->m_times;
        proxy->m_heard.notify_all();
        const std::string reply = Json(proxy->m_reply).dump();
        mg_send_http_ok(connection, "application/json", static_cast<long long>(reply.size()));
        mg_write(connection, reply.data(), reply.size());
        return 200;
    }

    std::mutex m_mutex;
    std::condition_variable m_heard;
    Announcement m_last;
    int m_times = 0;
    AnnouncementReply m_reply;
    mg_context *m_context;
};

Announcement identity()
{
    Announcement announcement;
    announcement.server = ServerId("a");
    announcement.address = {"127.0.0.1", 1};
    return announcement;
}

} // namespace

TEST_CASE("a server announces to the homes of the reply, and at once after a change")
{
    FakeProxy configured;
    FakeProxy home;
    const Endpoint dead = {"127.0.0.1", 1};
    // The next announcement is due after the test, so that only a change brings one.
    configured.setReply({{home.address(), dead}, 1h, {}});
    home.setReply({{home.address(), dead}, 1h, {}});
    StandinState state(nullptr, {}, ServerState::Ready);
    state.startAsPrimary(Clock::now());
    SharedBudget budget(20, true);
    Announcer announcer(state, budget, identity(), {configured.address()});
    state.setChangeHook([&announcer] { announcer.wake(); });
    CHECK(configured.hears(1));
    CHECK(home.hears(1));
    state.fence({2}, Clock::now());
    CHECK(home.hears(2));
    state.setChangeHook(nullptr);
}

TEST_CASE("a server announces to the homes of both sides of a cut between proxies")
{
    FakeProxy left;
    FakeProxy right;
    left.setReply({{left.address()}, 10ms, {}});
    right.setReply({{right.address()}, 10ms, {}});
    StandinState state(nullptr, {}, ServerState::Ready);
    SharedBudget budget(20, true);
    const Announcer announcer(state, budget, identity(), {left.address(), right.address()});
    constexpr int Often = 5;
    CHECK(left.hearsTimes(Often));
    CHECK(right.hearsTimes(Often));
}

TEST_CASE("a request for a share is answered at once by an announcement with the grant")
{
    FakeProxy home;
    AnnouncementReply reply {{home.address()}, 1h, {}};
    reply.shareRequest = ShareRequest {HomeRunId("vm-1.5"), 7, 0, 2, 18, 3s};
    home.setReply(reply);
    StandinState state(nullptr, {}, ServerState::Ready);
    state.startAsPrimary(Clock::now());
    SharedBudget budget(20, true);
    const Announcer announcer(state, budget, identity(), {home.address()});
    CHECK(home.isGranted({7, 4}));
}
