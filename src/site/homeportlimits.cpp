// How a HomePort acts on the limits of its links.
#include "site/homeport.h"

namespace nutmegtide {

namespace {

// A lane takes about this, and an answer to each of its commands besides.
constexpr std::size_t LaneBytes = 1'536;

} // namespace

// Returns whether there is room for another link.
bool HomePort::makeRoomFor(std::uint64_t link)
{
    const auto dropped = m_limits.add(link, EventLoop::now());
    if (dropped == link) {
        m_onFault("lane_link_limited", "no link is left");
        return false;
    }
    if (dropped)
        closeLimited({*dropped}, "another link needs the place of one that has sent no frame");
    return true;
}

bool HomePort::keepWithinMemory(std::uint64_t link)
{
    closeExcess();
    return m_links.count(link) != 0;
}

void HomePort::closeLimited(const std::vector<LinkKey> &links, const std::string &reason)
{
    for (const LinkKey link : links) {
        m_onFault("lane_link_limited", reason);
        end(link);
    }
}

std::size_t HomePort::measure(std::uint64_t key) const
{
    const Link &link = m_links.at(key);
    std::size_t bytes = m_home.memoryOf(key) + link.failureDomain.text().size()
            + link.socket->unsent() + link.outgoing.replies.size() * sizeof(wire::LaneReply);
    for (const wire::Loan &loan : link.outgoing.loans)
        bytes += sizeof loan + loan.workspace.size();
    return bytes;
}

void HomePort::closeExcess()
{
    closeLimited(m_limits.takeExcess(),
                 "the links take too much memory, and this one takes the most");
}

std::size_t HomePort::bytesFor(const std::vector<ServerCommand> &commands)
{
    std::size_t bytes = LaneBytes;
    for (const ServerCommand &command : commands)
        bytes += sizeof command + sizeof(wire::LaneReply) + command.request.text().size()
                + command.name.size() + command.argument.size();
    return bytes;
}

} // namespace nutmegtide
