#include "nutmegtide/failover/serverroster.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

ServerAnnouncement announcement(const std::string &id)
{
    ServerAnnouncement result;
    result.server = ServerId(id);
    result.service = ServiceName("db");
    result.address = {"10.0.0.1", 80};
    result.failureDomain = FailureDomain("a");
    result.slots = 3;
    result.isPrimary = id == "s1";
    result.lifetime = 7;
    result.sequence = 12;
    return result;
}

} // namespace

TEST_CASE("an entry replaces the servers of one service, and a snapshot keeps them")
{
    ServerRoster roster;
    const ServerRoster::Servers servers {{ServerId("s1"), announcement("s1")},
                                         {ServerId("s2"), announcement("s2")}};
    roster.apply(1, ServerRoster::encode(ServiceName("db"), servers));
    CHECK((roster.announcementsOf(ServiceName("db")) == servers));
    CHECK(roster.serversOf(ServiceName("other")).empty());

    ServerRoster copy;
    copy.restore(roster.snapshot());
    CHECK((copy.announcements() == roster.announcements()));

    roster.apply(2, ServerRoster::encode(ServiceName("db"), {}));
    CHECK(roster.announcements().empty());
}

TEST_CASE("other entries are ignored, and a malformed snapshot is refused")
{
    ServerRoster roster;
    roster.apply(1, "token db");
    roster.apply(2, "{\"kind\":\"adopt\"}");
    CHECK(roster.announcements().empty());
    CHECK_THROWS_AS(roster.restore("{\"services\":{\"db\":[{}]},\"orders\":{}}"), MessageError);
}

// Guards against an exception that no thread of a control VM expects and that ends the process.
TEST_CASE("a name that is not UTF-8 is refused when an entry is encoded")
{
    const ServiceName service("db");
    const ServerId unreadable("i-\xff");
    CHECK_THROWS_AS(ServerRoster::encode(service, {{unreadable, announcement("i-\xff")}}),
                    MessageError);
    CHECK_THROWS_AS(ServerRoster::encodeOrder(service, unreadable), MessageError);
    CHECK_THROWS_AS(ServerRoster::encodeOrdersClosed(ServiceName("\xff")), MessageError);
}

// Guards against a committed entry that ends every control VM that applies it, at each start.
TEST_CASE("an entry with a field that is missing or of another type changes nothing")
{
    const ServiceName service("db");
    ServerRoster roster;
    roster.apply(1, ServerRoster::encode(service, {{ServerId("s1"), announcement("s1")}}));
    const std::string before = roster.snapshot();
    const char *const entries[] = {
            R"({"order_of":5,"server":"s1"})",
            R"({"order_of":"db"})",
            R"({"orders_closed_of":[]})",
            R"({"roster_of":"db"})",
            R"({"roster_of":"db","servers":[{}]})",
            R"({"roster_of":"db","servers":[{"server":"s1","address":"nowhere"}]})",
    };
    for (const char *const entry : entries) {
        CAPTURE(entry);
        roster.apply(2, entry);
        CHECK(roster.snapshot() == before);
    }
    const char *const address =
            R"({"services":{"db":[{"server":"s1","address":"nowhere"}]},"orders":{}})";
    CHECK_THROWS_AS(roster.restore(address), MessageError);
    CHECK(roster.snapshot() == before);
}

TEST_CASE("an order stays open until orders are closed, also after restoring a snapshot")
{
    const ServiceName service("db");
    ServerRoster roster;
    roster.apply(1, ServerRoster::encodeOrder(service, ServerId("s2")));
    ServerRoster copy;
    copy.restore(roster.snapshot());
    CHECK((copy.openOrders(service) == std::set<ServerId> {ServerId("s2")}));
    CHECK((copy.servicesWithOpenOrders() == std::set<ServiceName> {service}));
    copy.apply(2, ServerRoster::encodeOrdersClosed(service));
    CHECK(copy.openOrders(service).empty());
    CHECK(copy.servicesWithOpenOrders().empty());
}

// Guards against a departed server that a restarted control VM takes for one that is present.
TEST_CASE("a departed server stays listed as departed, also after restoring a snapshot")
{
    const ServiceName service("db");
    const ServerRoster::Servers servers {{ServerId("s1"), announcement("s1")},
                                         {ServerId("s2"), announcement("s2")}};
    ServerRoster roster;
    roster.apply(1, ServerRoster::encode(service, servers, {ServerId("s2")}));
    CHECK((roster.announcementsOf(service) == servers));
    CHECK((roster.departedOf(service) == std::set<ServerId> {ServerId("s2")}));
    ServerRoster copy;
    copy.restore(roster.snapshot());
    CHECK((copy.departures()
           == std::map<ServerId, std::uint64_t> {
                   {ServerId("s2"), servers.at(ServerId("s2")).sequence}}));
    CHECK(copy.snapshot() == roster.snapshot());

    // An entry of a version that doesn't know departures.
    roster.apply(2, ServerRoster::encode(service, servers));
    CHECK(roster.departedOf(service).empty());
    const std::string before = roster.snapshot();
    std::string entry = ServerRoster::encode(service, servers, {ServerId("s2")});
    entry.replace(entry.find("\"departed\":true"), 15, "\"departed\":\"x\"");
    roster.apply(3, entry);
    CHECK(roster.snapshot() == before);
}

// Guards against a server that counts as recorded since another service has one of the same id.
TEST_CASE("the present servers are those of the services that are asked for")
{
    ServerAnnouncement announcement;
    announcement.address = {"10.0.0.1", 80};
    ServerRoster roster;
    roster.apply(1, ServerRoster::encode(ServiceName("db"), {{ServerId("s1"), announcement}}));
    roster.apply(2,
                 ServerRoster::encode(ServiceName("elsewhere"), {{ServerId("s2"), announcement}}));
    CHECK(roster.presentServers().size() == 2);
    CHECK((roster.presentServers(std::set<ServiceName> {ServiceName("db")})
           == std::set<ServerId> {ServerId("s1")}));
}
