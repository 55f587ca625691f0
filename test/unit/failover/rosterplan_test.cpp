#include "nutmegtide/failover/rosterplan.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

ServerAnnouncement announcement(const std::string &id, std::uint64_t sequence,
                                bool isLeaving = false)
{
    ServerAnnouncement result;
    result.server = ServerId(id);
    result.service = ServiceName("db");
    result.isLeaving = isLeaving;
    result.sequence = sequence;
    return result;
}

ServerRoster::Servers named(const std::vector<ServerAnnouncement> &announcements)
{
    ServerRoster::Servers servers;
    for (const ServerAnnouncement &one : announcements)
        servers[one.server] = one;
    return servers;
}

} // namespace

// Guards against a change of primary that doesn't cover a recorded server.
TEST_CASE("no server is added to the roster while a promotion is open")
{
    struct Row
    {
        const char *what;
        bool isPromotionOpen;
        std::vector<ServerAnnouncement> present;
        std::set<ServerId> departed;
        ServerRoster::Servers expected;
    };
    const ServerAnnouncement first = announcement("s1", 1);
    const ServerAnnouncement second = announcement("s2", 1);
    const ServerAnnouncement joined = announcement("s3", 1);
    const ServerAnnouncement leaving = announcement("s2", 2, true);
    const ServerRoster::Servers before = named({first, second});
    const Row rows[] = {
            {"a server joins", false, {first, second, joined}, {}, named({first, second, joined})},
            {"a server joins a change", true, {first, second, joined}, {}, before},
            {"a repeated announcement", false, {announcement("s1", 9), second}, {}, before},
            {"a recorded server begins to leave",
             true,
             {first, leaving},
             {},
             named({first, leaving})},
            {"a server isn't heard", false, {first}, {}, before},
            {"a server departs", false, {first}, {ServerId("s2")}, named({first})},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        const RosterPlan plan({before, row.present, row.departed, row.isPromotionOpen});
        CHECK((plan.next() == row.expected));
    }
}
