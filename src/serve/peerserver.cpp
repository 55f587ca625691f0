#include "serve/peerserver.h"

#include "serve/boundedlists.h"
#include "serve/httpserver.h"

#include <algorithm>
#include <future>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TBinaryProtocol.h>

namespace nutmegtide {

namespace {

// Tens of thousands of records; the largest calls of today have some thousand.
constexpr std::size_t MostListBytes = 32 * 1024 * 1024; // memory of the lists of one call
constexpr std::size_t LargestStruct = std::max(
        {sizeof(wire::ServerRecord), sizeof(wire::PrimaryComplaint), sizeof(wire::HomeVm),
         sizeof(wire::RaftMessage), sizeof(wire::RaftEntry), sizeof(wire::MemberUpdate),
         sizeof(wire::GroupReport), sizeof(wire::ServerReport)});
constexpr std::size_t IdleBuffer = 65'536; // bytes that a connection keeps between two calls

class BoundedProtocolFactory : public apache::thrift::protocol::TProtocolFactory
{
public:
    std::shared_ptr<apache::thrift::protocol::TProtocol> getProtocol(
            std::shared_ptr<apache::thrift::transport::TTransport> transport) override
    {
        using Protocol = BoundedLists<apache::thrift::protocol::TBinaryProtocol>;
        return std::make_shared<Protocol>(ListBound {MostListBytes, LargestStruct},
                                          std::move(transport));
    }
};

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

PeerServer::PeerServer(const Endpoint &endpoint, const Options &options,
                       std::shared_ptr<wire::PeerIf> service)
{
    using namespace apache::thrift;
    auto socket =
            std::make_shared<PeerListener>(endpoint,
                                           std::make_shared<PeerConnections>(options.limits,
                                                                             options.onLimited));
    m_workers = concurrency::ThreadManager::newSimpleThreadManager(
            static_cast<std::size_t>(options.workers));
    m_workers->threadFactory(std::make_shared<concurrency::ThreadFactory>(false));
    m_workers->start();
    m_server =
            std::make_unique<server::TNonblockingServer>(std::make_shared<wire::PeerProcessor>(
                                                                 std::move(service)),
                                                         std::make_shared<BoundedProtocolFactory>(),
                                                         socket, m_workers);
    m_server->setIdleReadBufferLimit(IdleBuffer);
    m_server->setIdleWriteBufferLimit(IdleBuffer);
    m_server->setResizeBufferEveryN(1);
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
