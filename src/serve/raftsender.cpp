#include "serve/raftsender.h"

#include "serve/raftwire.h"

namespace nutmegtide {

namespace {

// While a connection is tried to a machine that isn't up yet, whatever follows waits.
constexpr CallTimeouts Timeouts {250ms, 1s};

} // namespace

RaftSender::RaftSender(VmName peer, const Directory &directory, PeerClients &peers,
                       FolderAnswer onAnswer)
    : m_peer(std::move(peer))
    , m_directory(directory)
    , m_peers(peers)
    , m_onAnswer(std::move(onAnswer))
    , m_thread([this] { run(); })
{ }

RaftSender::~RaftSender()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void RaftSender::send(RaftMessage message)
{
    const std::lock_guard lock(m_mutex);
    m_queue.put(std::move(message));
    m_changed.notify_one();
}

void RaftSender::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_queue.isEmpty(); });
        if (m_isStopping)
            return;
        const std::vector<RaftMessage> messages = m_queue.takeBatch();
        lock.unlock();
        deliver(messages);
        lock.lock();
    }
}

void RaftSender::deliver(const std::vector<RaftMessage> &messages)
{
    const auto record = m_directory.find(m_peer);
    if (!record)
        return;
    std::vector<wire::RaftMessage> batch;
    batch.reserve(messages.size());
    for (const RaftMessage &message : messages)
        batch.push_back(toWire(message));
    try {
        m_peers.call(record->peers, Timeouts,
                     [&](wire::PeerClient &client) { client.raft(m_peers.header(), batch); });
        m_onAnswer(m_peer, std::nullopt);
    } catch (const PeerError &) {
        return;
    } catch (const wire::PeerRefusal &refusal) {
        if (refusal.kind == wire::RefusalKind::OTHER_FOLDER)
            m_onAnswer(m_peer, FolderMismatchError(refusal.message));
    }
}

} // namespace nutmegtide
