// A change of primary of a real site while a held replica crashes and starts again.
#include "process/support/databasegroup.h"
#include "process/support/linelistener.h"
#include "process/support/lineserver.h"
#include "process/support/linesite.h"
#include "process/support/waituntil.h"
#include "serve/httpserver.h"

#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int Servers = 3;
constexpr int Primary = 0;
constexpr std::chrono::milliseconds AnnounceInterval {100};

// The servers of one service, and the platform's call that changes the primary. A server can be cut
// off from the control VMs alone, and a promotion takes effect when the test says so.
class ChangingGroup
{
public:
    ChangingGroup()
    {
        for (int number = 0; number < Servers; ++number)
            m_listeners.push_back(std::make_unique<LineListener>([this, number] {
                DatabaseGroup::Connection connection;
                connection.server = number;
                return [this, connection, isControl = false](const std::string &line) mutable {
                    isControl = isControl || line.find(" control ") != std::string::npos;
                    return isControl && isCut(connection.server) ? std::nullopt
                                                                 : group.answer(connection, line);
                };
            }));
        m_promotions = std::make_unique<HttpServer>(Endpoint {"127.0.0.1", 0},
                                                    HttpServer::Options {4},
                                                    [this](const HttpRequest &request) {
                                                        return order(request);
                                                    });
    }
    ~ChangingGroup()
    {
        m_isStopping = true;
        if (m_announcing.joinable())
            m_announcing.join();
        m_promotions->stop();
    }
    ChangingGroup(const ChangingGroup &) = delete;
    ChangingGroup &operator=(const ChangingGroup &) = delete;

    Endpoint promotions() const { return m_promotions->bound(); }
    void cutFromControl(int server) { m_cut.at(static_cast<std::size_t>(server)) = true; }
    void heal()
    {
        for (std::atomic<bool> &cut : m_cut)
            cut = false;
    }
    // Returns the server that was ordered to lead; -1 without an order.
    int ordered() const { return m_ordered; }
    // Announces the servers until the end.
    void announceTo(const Endpoint &control)
    {
        m_announcing = std::thread([this, control] {
            for (int sequence = 1; !m_isStopping; ++sequence) {
                for (int server = 0; server < Servers; ++server)
                    announce(control, server, sequence);
                std::this_thread::sleep_for(AnnounceInterval);
            }
        });
    }

    DatabaseGroup group {Servers};

private:
    bool isCut(int server) const { return m_cut.at(static_cast<std::size_t>(server)); }
    HttpResponse order(const HttpRequest &request)
    {
        const std::string id = nlohmann::json::parse(request.body).at("id");
        m_ordered = id.back() - '0';
        return {};
    }
    void announce(const Endpoint &control, int server, int sequence)
    {
        if (!group.isUp(server) || isCut(server))
            return;
        const Endpoint at = m_listeners[static_cast<std::size_t>(server)]->endpoint();
        statusOf(control, "PUT", "/instances/" + DatabaseGroup::id(server),
                 toJson(ServerBody {at, static_cast<char>('a' + server), group.isPrimary(server),
                                    sequence}));
    }

    std::array<std::atomic<bool>, Servers> m_cut {};
    std::atomic<int> m_ordered = -1;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::unique_ptr<LineListener>> m_listeners;
    std::unique_ptr<HttpServer> m_promotions;
    std::thread m_announcing;
};

// Writes once, and returns the first line of the answer.
std::string write(LineClient &caller, DatabaseGroup &group, const std::string &request)
{
    group.expect(request);
    const std::string answer = caller.ask("QUERY " + request + " WRITE k 1");
    caller.ask("");
    return answer;
}

} // namespace

// Guards against lost commits that were answered: a held replica that crashes and starts again
// before the ordered server leads has lost its hold, and receives what that server lacks.
TEST_CASE("a replica that starts again during a change of primary confirms no commit")
{
    ChangingGroup servers;
    LineSite site(LineSite::Shape {1, 1, 0, servers.promotions()});
    site.configure(SiteRoutes);
    servers.announceTo(site.controlPort());
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    const auto caller = [&site] {
        auto client = std::make_unique<LineClient>(site.callers());
        CHECK(client->ask("START casks me") == "READY I -");
        return client;
    };
    int tries = 0;
    const auto isServed = [&] {
        const std::string request = "w" + std::to_string(++tries);
        return write(*caller(), servers.group, request).rfind("DONE", 0) == 0;
    };
    waitUntil(isServed, "a write to be served");

    const auto before = caller();
    servers.cutFromControl(Primary);
    waitUntil([&servers] { return servers.ordered() >= 0; }, "another server to be ordered");
    const int third = Servers - Primary - servers.ordered();
    // Control can't reach it again, so its hold isn't renewed.
    servers.cutFromControl(third);
    servers.group.setUp(third, false);
    servers.group.setUp(third, true);
    const std::string answer = write(*before, servers.group, "between");
    CHECK(servers.group.count("between") == 1);
    servers.group.promote(servers.ordered());
    CHECK(servers.group.count("between") == 0);
    CHECK(answer.rfind("ERR INDOUBT", 0) == 0);

    servers.heal();
    waitUntil(isServed, "a write to be served after the change");
    CHECK(servers.group.violations().empty());
    CAPTURE(site.logs());
}
