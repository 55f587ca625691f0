// The part of ControlNode that tells which changes of primary are open.
#include "site/controlnode.h"
#include "site/eventloop.h"

namespace nutmegtide {

// The time is read first: changes that start after it hold the servers anew.
std::optional<OpenChanges> ControlNode::ownOpenChanges() const
{
    const auto provedAt = m_log.leadProvedAt();
    if (!provedAt || !m_changes || !m_log.status().isCurrent)
        return std::nullopt;
    auto services = m_changes->openChanges();
    if (!services)
        return std::nullopt;
    return OpenChanges {std::move(*services), *provedAt};
}

wire::OpenChanges ControlNode::tellOpenChanges() const
{
    if (const auto changes = ownOpenChanges())
        return toWire(*changes, EventLoop::now());
    wire::PeerRefusal refusal;
    refusal.kind = wire::RefusalKind::NOT_CONTROL;
    refusal.message = "this VM doesn't lead the changes of primary";
    throw refusal;
}

void ControlNode::putOpenChanges(const wire::FollowRequest &request, wire::FollowReply &reply)
{
    if (!m_settings.promotions || (!m_log.isLeader() && !m_openChanges.isTold()))
        return;
    reply.__set_tellsChanges(true);
    if (!request.asksChanges)
        return;
    const TimePoint now = EventLoop::now();
    std::optional<OpenChanges> changes = ownOpenChanges();
    if (!changes) {
        if (m_openChanges.want(now))
            m_leaderFetcher.fetchNow();
        changes = m_openChanges.latest();
    }
    if (changes)
        reply.__set_openChanges(toWire(*changes, now));
}

} // namespace nutmegtide
