#include "nutmegtide/events/timeline.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;

namespace {

Event eventOf(const std::string &vm, const std::string &id, std::int64_t seconds,
              const std::string &cause = "", EventKind kind = EventKind::ChartTransition)
{
    Event event;
    event.vm = VmName(vm);
    event.failureDomain = FailureDomain("domain-" + vm);
    event.id = EventId(id);
    event.time.physicalMicroseconds = seconds * 1'000'000;
    event.cause = EventId(cause);
    event.kind = kind;
    event.database = DatabaseName("shop");
    return event;
}

std::string orderOf(const std::vector<TimelinePart> &parts)
{
    std::string ids;
    for (const Event &event : mergeTimeline(parts).events)
        ids += event.id.text() + ' ';
    return ids;
}

} // namespace

TEST_CASE("causes stand before effects although clocks disagree by minutes")
{
    struct Row
    {
        const char *about;
        std::vector<Event> a;
        std::vector<Event> b;
        std::string order;
    };
    const Row rows[] = {
            {"nothing", {}, {}, ""},
            {"by stamp",
             {eventOf("a", "a1", 1), eventOf("a", "a2", 3)},
             {eventOf("b", "b1", 2)},
             "a1 b1 a2 "},
            {"the effect's clock is ten minutes behind",
             {eventOf("a", "a1", 700)},
             {eventOf("b", "b1", 100, "a1"), eventOf("b", "b2", 101)},
             "a1 b1 b2 "},
            {"there and back",
             {eventOf("a", "a1", 700), eventOf("a", "a2", 701, "b1")},
             {eventOf("b", "b1", 100, "a1"), eventOf("b", "b2", 99)},
             "a1 b1 b2 a2 "},
            {"a clock that was set back",
             {eventOf("a", "a1", 700), eventOf("a", "a2", 100)},
             {eventOf("b", "b1", 300)},
             "b1 a1 a2 "},
            {"a cause that was dropped", {eventOf("a", "a1", 1, "gone")}, {}, "a1 "},
            {"an event that came twice",
             {eventOf("a", "a1", 1), eventOf("a", "a2", 2)},
             {eventOf("a", "a1", 1), eventOf("a", "a2", 2)},
             "a1 a2 "},
            {"an overlap, as of file and ring",
             {eventOf("a", "a1", 5)},
             {eventOf("a", "a1", 5), eventOf("a", "a2", 1)},
             "a1 a2 "},
            {"its own cause", {eventOf("a", "a1", 1, "a1")}, {}, "a1 "},
            {"a cycle",
             {eventOf("a", "a1", 2, "b1"), eventOf("a", "a2", 3)},
             {eventOf("b", "b1", 1, "a1")},
             "b1 a1 a2 "},
    };
    for (const Row &row : rows) {
        CAPTURE(row.about);
        CHECK(orderOf({{VmName("a"), 0, row.a}, {VmName("b"), 0, row.b}}) == row.order);
        CHECK(orderOf({{VmName("b"), 0, row.b}, {VmName("a"), 0, row.a}}) == row.order);
    }
}

TEST_CASE("a gap runs from the first suspicion to the publication")
{
    const TimelinePart part {VmName("a"),
                             0,
                             {eventOf("a", "a1", 1, "", EventKind::PrimarySuspected),
                              eventOf("a", "a2", 2, "", EventKind::PrimarySuspected),
                              eventOf("a", "a3", 4, "", EventKind::PrimaryPublished),
                              eventOf("a", "a4", 6, "", EventKind::PrimaryPublished),
                              eventOf("a", "a5", 7, "", EventKind::PrimarySuspected),
                              eventOf("a", "a6", 9)}};
    const Timeline timeline = mergeTimeline({part});
    REQUIRE(timeline.gaps.size() == 2);
    CHECK(timeline.gaps[0].begin.text() == "a1");
    CHECK(timeline.gaps[0].end.text() == "a3");
    CHECK(timeline.gaps[0].microseconds == 3'000'000);
    CHECK(timeline.gaps[1].end.isEmpty());
    CHECK(timeline.gaps[1].microseconds == 2'000'000);
}

TEST_CASE("text shows every column, the dropped and the unreachable")
{
    Event event = eventOf("a", "a1", 1, "b9");
    event.term = 4;
    event.request = RequestId("r-1");
    event.details = {{"why", "silent"}};
    const Timeline timeline = mergeTimeline({{VmName("a"), 7, {event}}},
                                            {{VmName("c"), "connection refused"}});
    const std::string text = renderText(timeline);
    CHECK(text
          == "unreachable: c: connection refused\ndropped: a: 7\n"
             "TIME                         VM  FAILURE DOMAIN  EVENT             DATABASE  TERM  "
             "REQUEST ID  DETAILS     CAUSE\n"
             "1970-01-01T00:00:01.000000Z  a   domain-a        chart_transition  shop      4     "
             "r-1         why=silent  b9\n");
    const auto json = nlohmann::json::parse(renderJson(timeline));
    CHECK(json["dropped"][0]["count"] == 7);
    CHECK(json["unreachable"][0]["vm"] == "c");
    CHECK(eventFromJson(json["events"][0].dump()) == event);
}

TEST_CASE("no value can break out of its place")
{
    const std::string rows[] = {"</script><script>alert(1)</script>",
                                "<!--<script>",
                                "]]>&lt;",
                                "\"';alert(1)//",
                                "line\nfeed\r\x1b[31m",
                                "\xe2\x80\xa8",
                                "\xff"};
    const Timeline empty = mergeTimeline({});
    const auto count = [](const std::string &text, const std::string &part) {
        std::size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            ++found;
        return found;
    };
    for (const std::string &row : rows) {
        CAPTURE(row);
        Event event = eventOf(row, row, 1, row);
        event.failureDomain = FailureDomain(row);
        event.database = DatabaseName(row);
        event.request = RequestId(row);
        event.details = {{row, row}};
        event.kind = EventKind::PrimarySuspected;
        const Timeline timeline = mergeTimeline({{VmName(row), 1, {event}}}, {{VmName(row), row}});
        const std::string html = renderHtml(timeline);
        for (const char *mark : {"<", ">", "&"})
            CHECK(count(html, mark) == count(renderHtml(empty), mark));
        const std::string text = renderText(timeline);
        CHECK(count(text, "\n") == 5);
        CHECK(count(text, "\x1b") == 0);
    }
}

TEST_CASE("the page needs no other file")
{
    const std::string html = renderHtml(mergeTimeline({}));
    for (const char *mark : {"http://", "https://", "src=", "innerHTML", "@import", "url("}) {
        CAPTURE(mark);
        CHECK(html.find(mark) == std::string::npos);
    }
}
