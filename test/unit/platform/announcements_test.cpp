#include "announcements.h"

#include "nutmegtide/base/errors.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;
using namespace nutmegtide::platform;

namespace {

using Json = nlohmann::json;

Json goodAnnouncement()
{
    return Json::parse(R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",
        "version":"v1","slots":3,"phase":"ready","coldRemainingMs":0,"dbRole":"replica",
        "sequence":4,"born":1767225600000})");
}

} // namespace

TEST_CASE("a server's announcement is parsed into its fields")
{
    const ServerAnnouncement announcement = parseAnnouncement("i-7f", goodAnnouncement().dump());
    CHECK(announcement.server == ServerId("i-7f"));
    CHECK(announcement.service == ServiceName("huvo11a"));
    CHECK(toString(announcement.address) == std::string("10.128.0.9:8080"));
    CHECK(announcement.slots == 3);
    CHECK_FALSE(announcement.isLeaving);
    CHECK_FALSE(announcement.isPrimary);
    CHECK(announcement.sequence == 4);
    CHECK(announcement.lifetime == 1767225600000);
}

TEST_CASE("an announcement with one invalid field is refused")
{
    struct Row
    {
        const char *field;
        Json value;
    };
    const Row rows[] = {
            {"service", Json()},
            {"service", 5},
            {"address", "somewhere"},
            {"zone", 1},
            {"slots", "3"},
            {"slots", -1},
            {"phase", "asleep"},
            {"dbRole", "witness"},
            {"sequence", 1.5},
            {"sequence", Json()},
            {"born", "yesterday"},
            {"service", std::string(257, 's')},
            {"zone", std::string(257, 'z')},
    };
    for (const Row &row : rows) {
        CAPTURE(row.field);
        Json json = goodAnnouncement();
        json[row.field] = row.value;
        CHECK_THROWS_AS(parseAnnouncement("i-7f", json.dump()), MessageError);
    }
    CHECK_THROWS_AS(parseAnnouncement("i-7f", "\xff\xfe"), MessageError);
    CHECK_THROWS_AS(parseAnnouncement("", goodAnnouncement().dump()), MessageError);
    CHECK_THROWS_AS(parseAnnouncement(std::string(257, 'i'), goodAnnouncement().dump()),
                    MessageError);
}

// Guards against an id of bytes that no JSON can hold: the control leader ended when it stored such
// a server in the control log, and after it the next leader.
TEST_CASE("an announcement with an id or a service that is no word is refused")
{
    const char *const ids[] = {"i-\xff", "\xc3", "i 1", "i-1\r\nQUERY - STATUS", "i-1\n", "\x7f"};
    for (const char *const id : ids) {
        CAPTURE(std::string(id));
        CHECK_THROWS_AS(parseServerId(id), MessageError);
        CHECK_THROWS_AS(parseAnnouncement(id, goodAnnouncement().dump()), MessageError);
    }
    // A body that isn't UTF-8 is refused as a whole, so these are readable.
    const char *const services[] = {"", "i 1", "i-1\r\nQUERY - STATUS", "i-1\n", "\x7f"};
    for (const char *const service : services) {
        CAPTURE(std::string(service));
        Json json = goodAnnouncement();
        json["service"] = service;
        CHECK_THROWS_AS(parseAnnouncement("i-7f", json.dump()), MessageError);
    }
    CHECK(parseServerId("i-\xc3\xa9") == ServerId("i-\xc3\xa9"));
}
