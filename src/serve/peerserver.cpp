#include "serve/peerserver.h"

#include "serve/httpserver.h"

#include <future>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TNonblockingServerSocket.h>

namespace nutmegtide {

namespace {

// Tells the starting thread that the server listens.
class ListeningSignal : public apache::thrift::server::TServerEventHandler
{
public:
    void preServe() override { m_listening.set_value(); }
    std::future<void> listening() { return m_listening.get_future(); }

private:
    std::promise<void> m_listening;
};

} // namespace

PeerServer::PeerServer(const Endpoint &endpoint, Options options,
                       std::shared_ptr<wire::PeerIf> service)
{
    using namespace apache::thrift;
    auto socket = std::make_shared<transport::TNonblockingServerSocket>(endpoint.address,
                                                                        endpoint.port);
    m_workers = concurrency::ThreadManager::newSimpleThreadManager(
            static_cast<std::size_t>(options.workers));
    m_workers->threadFactory(std::make_shared<concurrency::ThreadFactory>(false));
    m_workers->start();
    m_server = std::make_unique<server::TNonblockingServer>(
            std::make_shared<wire::PeerProcessor>(std::move(service)),
            std::make_shared<protocol::TBinaryProtocolFactory>(), socket, m_workers);
    m_server->setMaxFrameSize(static_cast<std::size_t>(options.largestFrame));
    auto signal = std::make_shared<ListeningSignal>();
    m_server->setServerEventHandler(signal);

    auto listening = signal->listening();
    auto failed = std::make_shared<std::promise<std::string>>();
    auto failure = failed->get_future();
    m_thread = std::thread([this, failed] {
        try {
            m_server->serve();
        } catch (const TException &fault) {
            failed->set_value(fault.what());
        }
    });
    constexpr auto PollInterval = std::chrono::milliseconds(1);
    while (listening.wait_for(PollInterval) != std::future_status::ready) {
        if (failure.wait_for(std::chrono::milliseconds(0)) != std::future_status::ready)
            continue;
        m_thread.join();
        throw ListenError("cannot listen at " + toString(endpoint) + ": " + failure.get());
    }
    m_bound = {endpoint.address, static_cast<std::uint16_t>(m_server->getListenPort())};
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
    // A worker that still answers uses its connection, which the server's destructor frees.
    m_workers->stop();
}

} // namespace nutmegtide
