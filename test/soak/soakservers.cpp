#include "soak/soakservers.h"

#include "process/support/lineserver.h"

#include <nlohmann/json.hpp>

namespace nutmegtide::test {

namespace {

constexpr std::chrono::milliseconds AnnounceInterval {300};
constexpr std::chrono::milliseconds PromotionTime {150};
constexpr std::chrono::milliseconds SlowTime {60}; // far below the site's time limits
constexpr int SlowInterval = 16; // lines; one of them is answered late

} // namespace

SoakServers::SoakServers()
{
    for (int number = 0; number < Count; ++number) {
        Server server;
        server.listener = std::make_unique<LineListener>([this, number] {
            DatabaseGroup::Connection connection;
            connection.server = number;
            return [this, connection](const std::string &line) mutable {
                const std::optional<std::string> lines = m_group.answer(connection, line);
                delay();
                return lines;
            };
        });
        server.relay = std::make_unique<Relay>(server.listener->endpoint());
        m_servers.push_back(std::move(server));
    }
    m_promotions = std::make_unique<HttpServer>(Endpoint {"127.0.0.1", 0}, HttpServer::Options {4},
                                                [this](const HttpRequest &request) {
                                                    return promote(request);
                                                });
}

SoakServers::~SoakServers()
{
    m_isStopping = true;
    if (m_announcing.joinable())
        m_announcing.join();
    m_promotions->stop();
}

void SoakServers::load()
{
    m_isLoaded = true;
    m_group.refuseSome();
}

void SoakServers::cut(int server)
{
    m_group.note(DatabaseGroup::id(server) + " cut");
    at(server).relay->cut();
}

void SoakServers::heal(int server)
{
    m_group.note(DatabaseGroup::id(server) + " healed");
    at(server).relay->heal();
}

// Delays the answer and not the execution: a server that has received a write of a killed VM may
// run it after later writes of the same caller, which the callers' checks don't allow for.
void SoakServers::delay()
{
    if (m_isLoaded && ++m_lines % SlowInterval == 0)
        std::this_thread::sleep_for(SlowTime);
}

void SoakServers::announceTo(std::vector<Endpoint> controls)
{
    m_controls = std::move(controls);
    m_announcing = std::thread([this] { announce(); });
}

HttpResponse SoakServers::promote(const HttpRequest &request)
{
    HttpResponse response;
    const auto body = nlohmann::json::parse(request.body);
    const std::string id = body.at("id");
    const std::uint64_t token = std::stoull(
            request.header("Nutmegtide-Fencing-Token").value_or("0"));
    {
        const std::lock_guard lock(m_mutex);
        response.status = token < m_highestToken ? 409 : 200;
        m_highestToken = std::max(m_highestToken, token);
    }
    if (response.status != 200)
        return response;
    std::this_thread::sleep_for(PromotionTime);
    if (!m_group.promote(id.back() - '0'))
        response.status = 409;
    return response;
}

// Each server tells the first control VM that takes its word.
void SoakServers::announce()
{
    for (int sequence = 1; !m_isStopping; ++sequence) {
        for (int server = 0; server < Count; ++server) {
            if (!m_group.isUp(server))
                continue;
            for (const Endpoint &control : m_controls) {
                const std::string path = "/instances/" + DatabaseGroup::id(server);
                if (statusOf(control, "PUT", path, announcement(server, sequence)) == 200)
                    break;
            }
        }
        std::this_thread::sleep_for(AnnounceInterval);
    }
}

std::string SoakServers::announcement(int server, int sequence) const
{
    return toJson(ServerBody {m_servers[static_cast<std::size_t>(server)].relay->endpoint(),
                              static_cast<char>('a' + server), m_group.isPrimary(server), sequence});
}

} // namespace nutmegtide::test
