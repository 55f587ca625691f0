// What the lanes of a ServerHome take.
#include "nutmegtide/proxy/serverhome.h"

namespace nutmegtide {

namespace {

// Bytes that a lane takes in containers, without its commands.
constexpr std::size_t ContainerBytes = 640;

std::size_t bytesOf(const ServerCommand &command)
{
    return sizeof command + command.request.text().capacity() + command.name.capacity()
            + command.argument.capacity();
}

} // namespace

std::size_t ServerHome::memoryOf(std::uint64_t link) const
{
    std::size_t bytes = 0;
    for (auto item = m_lanes.lower_bound({link, 0}); item != m_lanes.end(); ++item) {
        const auto &[key, lane] = *item;
        if (key.link != link)
            break;
        bytes += sizeof lane + ContainerBytes + lane.image.memory();
        bytes += lane.server.text().capacity() + lane.workspace.text().capacity();
        bytes += lane.sent ? bytesOf(*lane.sent) : 0;
        for (const ServerCommand &command : lane.pending)
            bytes += bytesOf(command);
    }
    return bytes;
}

} // namespace nutmegtide
