#include "serve/identity.h"

namespace nutmegtide {

wire::Header headerOf(const Identity &identity, Recorder &recorder)
{
    wire::Header header;
    header.fleet = identity.fleet.text();
    header.vm = identity.vm.text();
    header.incarnation = static_cast<std::int64_t>(identity.incarnation);
    header.failureDomain = identity.failureDomain.text();
    const HlcTime stamp = recorder.stamp();
    header.physicalMicroseconds = stamp.physicalMicroseconds;
    header.logical = static_cast<std::int32_t>(stamp.logical);
    return header;
}

} // namespace nutmegtide
