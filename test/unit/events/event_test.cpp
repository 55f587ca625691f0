#include "nutmegtide/events/event.h"

#include <doctest/doctest.h>
#include <set>

using namespace nutmegtide;

TEST_CASE("every event kind has one name on the wire")
{
    std::set<std::string_view> names;
    for (EventKind kind : allEventKinds()) {
        CAPTURE(std::string(toString(kind)));
        CHECK(names.insert(toString(kind)).second);
        CHECK((eventKindFromString(toString(kind)) == kind));
    }
    CHECK(names.size() == static_cast<std::size_t>(EventKind::Other) + 1);
    CHECK_FALSE(eventKindFromString("no_such_event"));
}

TEST_CASE("an event comes back from JSON as it was")
{
    Event event;
    event.time = {-5, 7};
    event.vm = VmName("entry \"1\"\n");
    event.failureDomain = FailureDomain("zone-a");
    event.kind = EventKind::WriteUnknown;
    event.database = DatabaseName("shop");
    event.term = 18'446'744'073'709'551'615U;
    event.request = RequestId("r-1");
    event.id = EventId("entry-1-3-9");
    event.cause = EventId("control-1-1-4");
    event.details = {{"why", "a\tb\\"}, {"", ""}};
    CHECK(eventFromJson(toJson(event)) == event);
    CHECK(toJson(event).find('\n') == std::string::npos);
}

TEST_CASE("an event of a later version keeps the name of its kind")
{
    std::string json = toJson(Event {});
    json.replace(json.find("\"other\""), 7, "\"new_kind\"");
    const Event event = eventFromJson(json);
    CHECK((event.kind == EventKind::Other));
    CHECK(event.details.at("kind") == "new_kind");
}

TEST_CASE("text that is no event is a typed error")
{
    const std::string good = toJson(Event {});
    const std::string rows[] = {"",
                                "{",
                                "[]",
                                "{}",
                                "3",
                                good.substr(0, good.size() - 1),
                                R"({"details":[],"kind":1})",
                                "\xff"};
    for (const std::string &row : rows) {
        CAPTURE(row);
        CHECK_THROWS_AS(eventFromJson(row), EventError);
    }
}

TEST_CASE("bytes that are not UTF-8 do not stop an event from being written")
{
    Event event;
    event.details["bytes"] = "a\xff";
    CHECK(eventFromJson(toJson(event)).details.at("bytes") == "a\xef\xbf\xbd");
}
