#pragma once

#include "process/support/databasegroup.h"
#include "process/support/linelistener.h"
#include "process/support/relay.h"
#include "serve/httpserver.h"

#include <atomic>
#include <memory>
#include <thread>

namespace nutmegtide::test {

// The backend servers of a soak, each behind a relay that can be cut, the platform's call that
// changes the primary, and the servers' announcements to the control VMs.
class SoakServers
{
public:
    static constexpr int Count = 3;

    SoakServers();
    ~SoakServers();
    SoakServers(const SoakServers &) = delete;
    SoakServers &operator=(const SoakServers &) = delete;

    // Where changes of primary are ordered.
    Endpoint promotions() const { return m_promotions->bound(); }
    // From now on the servers refuse a part of the statements as busy and answer a part late.
    void load();
    // Announces to these control VMs until the end.
    void announceTo(std::vector<Endpoint> controls);
    // Breaks the server's connections, and lets it listen again.
    void crash(int server) { m_group.setUp(server, false); }
    void revive(int server) { m_group.setUp(server, true); }
    void cut(int server);
    void heal(int server);

    DatabaseGroup &group() { return m_group; }
    std::string trace() const { return m_group.trace(); }

private:
    struct Server
    {
        std::unique_ptr<LineListener> listener;
        std::unique_ptr<Relay> relay;
    };

    Server &at(int server) { return m_servers.at(static_cast<std::size_t>(server)); }
    HttpResponse promote(const HttpRequest &request);
    void announce();
    void delay();
    std::string announcement(int server, int sequence) const;

    DatabaseGroup m_group {Count};
    std::vector<Server> m_servers;
    std::mutex m_mutex;
    std::uint64_t m_highestToken = 0;
    std::unique_ptr<HttpServer> m_promotions;
    std::vector<Endpoint> m_controls;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isLoaded = false;
    std::atomic<int> m_lines = 0;
    std::thread m_announcing;
};

} // namespace nutmegtide::test
