#include "site/updatesender.h"

namespace nutmegtide {

namespace {

constexpr CallTimeouts Timeouts {250ms, 800ms};
constexpr auto IdleTime = 10s;
constexpr auto RetryTime = 300ms; // after a call that failed
constexpr std::size_t MostComplaints = 256; // queued for one peer

} // namespace

UpdateSender::UpdateSender(Endpoint peer, PeerClients &peers, std::string folder)
    : m_peer(std::move(peer))
    , m_peers(peers)
    , m_folder(std::move(folder))
    , m_thread([this] { run(); })
{ }

UpdateSender::~UpdateSender()
{
    m_isStopping = true;
    m_signal.notify();
    m_thread.join();
}

void UpdateSender::put(const std::vector<wire::ServerRecord> &servers)
{
    const std::lock_guard lock(m_mutex);
    for (const wire::ServerRecord &server : servers)
        m_servers[server.server] = server;
    m_isWanted = true;
    m_signal.notify();
}

void UpdateSender::putAll(const std::vector<wire::ServerRecord> &servers)
{
    std::vector<wire::ServerRecord> unknown;
    {
        const std::lock_guard lock(m_mutex);
        unknown = m_filter.unknown(servers, Clock::now());
    }
    put(unknown);
}

void UpdateSender::setFollowers(int followers, std::vector<wire::HomeVm> homes)
{
    const std::lock_guard lock(m_mutex);
    m_followers = followers;
    m_homes = std::move(homes);
}

void UpdateSender::put(const std::vector<wire::PrimaryComplaint> &complaints)
{
    const std::lock_guard lock(m_mutex);
    for (const wire::PrimaryComplaint &complaint : complaints) {
        if (m_complaints.size() < MostComplaints)
            m_complaints.push_back(complaint);
    }
    m_isWanted = true;
    m_signal.notify();
}

wire::SiteNews UpdateSender::drainUpdates()
{
    const std::lock_guard lock(m_mutex);
    wire::SiteNews news;
    news.folder = m_folder;
    news.followers = m_followers;
    news.homes = m_homes;
    for (auto &[id, server] : m_servers)
        news.servers.push_back(std::move(server));
    m_servers.clear();
    news.complaints = std::exchange(m_complaints, {});
    m_isWanted = false;
    return news;
}

void UpdateSender::keep(const std::vector<wire::ServerRecord> &servers)
{
    const std::lock_guard lock(m_mutex);
    m_filter.lost();
    for (const wire::ServerRecord &server : servers)
        m_servers.emplace(server.server, server);
    m_isWanted = m_isWanted || !m_servers.empty();
}

// A VM that was cut off passes on what it heard soon after the cut ends: a leader that doesn't know
// of a server can't hold it. Complaints that can't be delivered are dropped; the entry VMs repeat
// them.
void UpdateSender::run()
{
    auto rest = std::chrono::milliseconds(IdleTime);
    while (!m_isStopping) {
        m_signal.restUntil(Clock::now() + rest);
        rest = IdleTime;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isWanted)
                continue;
        }
        const wire::SiteNews news = drainUpdates();
        try {
            m_peers.call(m_peer, Timeouts, [&](wire::PeerClient &client) {
                client.spreadNews(m_peers.header(), news);
            });
            const std::lock_guard lock(m_mutex);
            m_filter.delivered(news.servers);
        } catch (const PeerError &) {
            keep(news.servers);
            rest = RetryTime;
        } catch (const wire::PeerRefusal &) {
            keep(news.servers);
            rest = RetryTime;
        }
    }
}

} // namespace nutmegtide
