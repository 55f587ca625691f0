#include "replicator.h"

#include <glog/logging.h>

namespace nutmegtide::standin {

namespace {

constexpr std::chrono::milliseconds PollWait = 500ms;
constexpr std::chrono::milliseconds RetryPause = 20ms;

} // namespace

Replicator::Replicator(StandinState &state, std::chrono::milliseconds pullTimeout)
    : m_state(state)
    , m_pullTimeout(pullTimeout)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

void Replicator::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const std::optional<ReplicationSource> source = m_state.source();
        if (!source || !pull(*source))
            m_state.awaitSourceChange(source, RetryPause);
    }
}

bool Replicator::pull(const ReplicationSource &source)
{
    const Probe probe = m_state.probe();
    const std::chrono::milliseconds wait = probe.isMatched ? PollWait : 0ms;
    const std::string path = "/v1/log?after=" + std::to_string(probe.index)
            + "&wait_ms=" + std::to_string(wait.count());
    try {
        const HttpAnswer answer = m_client.get(source.primary, path, m_pullTimeout,
                                               [&] { return m_state.source() != source; });
        constexpr long OkStatus = 200;
        if (answer.status != OkStatus)
            return false;
        LogFeed feed = Json::parse(answer.body).get<LogFeed>();
        const std::chrono::milliseconds ship = m_state.delays().ship;
        if (!feed.entries.empty() && ship > ship.zero())
            m_state.awaitSourceChange(source, ship);
        const bool isOfTerm = feed.term == source.term;
        m_state.receive(source, std::move(feed), Clock::now());
        return isOfTerm;
    } catch (const HttpError &) {
        return false;
    } catch (const Json::exception &fault) {
        LOG(WARNING) << "event=bad_feed primary=" << source.primary << " fault=" << fault.what();
        return false;
    }
}

} // namespace nutmegtide::standin
