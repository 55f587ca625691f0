#include "nutmegtide/failover/changetrigger.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");

ServerRecord record(const std::string &id, bool isPrimary, bool isLeaving = false)
{
    ServerRecord result;
    result.said.server = ServerId(id);
    result.said.service = Service;
    result.said.isPrimary = isPrimary;
    result.said.isLeaving = isLeaving;
    return result;
}

// A trigger that has looked at the service once, at 10 s.
ChangeTrigger readyTrigger()
{
    ChangeTrigger trigger;
    trigger.startLeading(TimePoint(0s));
    trigger.onChangeEnded(Service, ServerId("a"), TimePoint(9s));
    return trigger;
}

} // namespace

TEST_CASE("a new leader of control looks at each service once, after all servers had time to "
          "announce")
{
    ChangeTrigger trigger;
    trigger.startLeading(TimePoint(10s));
    const std::vector<ServerRecord> servers {record("a", true), record("b", false)};
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(11s)));
    CHECK(trigger.neededChange(Service, servers, {{ServerId("a")}}, TimePoint(11'400ms)));
    CHECK(trigger.neededChange(Service, servers, {}, TimePoint(13s)));
    trigger.onChangeEnded(Service, ServerId("a"), TimePoint(13s));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(15s)));
}

TEST_CASE("servers of the roster count although nothing was heard of them")
{
    ChangeTrigger trigger;
    trigger.startLeading(TimePoint(0s));
    const auto neededChange = trigger.neededChange(Service, {record("a", true)},
                                   {{ServerId("a"), ServerId("b"), ServerId("c")}}, TimePoint(10s));
    REQUIRE(neededChange);
    CHECK(neededChange->servers.size() == 3);
}

TEST_CASE("what makes a change of primary wanted")
{
    struct Row
    {
        const char *what;
        std::vector<ServerRecord> servers;
        std::vector<EntryComplaint> complaints;
        std::optional<ChangeReason> reason;
    };
    const auto complaint = [](const char *vm, const char *server, std::chrono::milliseconds since) {
        return EntryComplaint {vm, Service, ServerId(server), since};
    };
    const std::vector<ServerRecord> healthy {record("a", true), record("b", false)};
    const Row rows[] = {
            {"nothing", healthy, {}, {}},
            {"the primary leaves",
             {record("a", true, true), record("b", false)},
             {},
             ChangeReason::Moved},
            {"it leaves, but so does its only replica",
             {record("a", true, true), record("b", false, true)},
             {},
             {}},
            {"a complaint", healthy, {complaint("e1", "a", 50ms)}, ChangeReason::Lost},
            {"a complaint of a replica", healthy, {complaint("e1", "b", 50ms)}, {}},
            {"one entry VM complains for long", healthy, {complaint("e1", "a", 2s)}, ChangeReason::Lost},
            {"two complain for long",
             healthy,
             {complaint("e1", "a", 2s), complaint("e2", "a", 2s)},
             ChangeReason::Moved},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ChangeTrigger trigger = readyTrigger();
        for (const EntryComplaint &one : row.complaints)
            trigger.complain(one, TimePoint(10s));
        const auto neededChange = trigger.neededChange(Service, row.servers, {}, TimePoint(10s));
        CHECK(neededChange.has_value() == row.reason.has_value());
        if (neededChange && row.reason)
            CHECK((neededChange->reason == *row.reason));
    }
}

TEST_CASE("many entry VMs: a primary that some can't use for long is moved, one that loses answers "
          "is not")
{
    struct Row
    {
        int entries;
        int complainers;
        ChangeReason reason;
    };
    const Row rows[] = {
            {8, 2, ChangeReason::Moved},  {82, 2, ChangeReason::Lost}, {82, 8, ChangeReason::Lost},
            {82, 9, ChangeReason::Moved}, {0, 2, ChangeReason::Moved},
    };
    for (const Row &row : rows) {
        CAPTURE(row.entries);
        CAPTURE(row.complainers);
        ChangeTrigger trigger = readyTrigger();
        trigger.setEntryCount(row.entries);
        for (int number = 0; number < row.complainers; ++number) {
            const std::string name = "e" + std::to_string(number);
            trigger.complain({name, Service, ServerId("a"), 2s}, TimePoint(10s));
        }
        const auto neededChange = trigger.neededChange(Service, {record("a", true), record("b", false)}, {},
                                       TimePoint(10s));
        REQUIRE(neededChange.has_value());
        CHECK((neededChange->reason == row.reason));
    }
}

TEST_CASE("a complaint that isn't repeated lapses, and so does one from before a change")
{
    const std::vector<ServerRecord> servers {record("a", true), record("b", false)};
    ChangeTrigger trigger = readyTrigger();
    trigger.complain({"e1", Service, ServerId("a"), 0ms}, TimePoint(10s));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(11'100ms)));
    trigger.complain({"e1", Service, ServerId("a"), 0ms}, TimePoint(12s));
    trigger.onChangeEnded(Service, ServerId("a"), TimePoint(12s));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(12'500ms)));
}

TEST_CASE("a service without any primary is looked after once that lasts")
{
    const std::vector<ServerRecord> servers {record("a", false), record("b", false)};
    ChangeTrigger trigger = readyTrigger();
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(10s)));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(11s)));
    const auto neededChange = trigger.neededChange(Service, servers, {}, TimePoint(12s));
    REQUIRE(neededChange);
    CHECK((neededChange->reason == ChangeReason::Lost));
}

TEST_CASE("an unanswered order is closed by a later one, after all that presses more")
{
    ChangeTrigger trigger = readyTrigger();
    const RosterView roster {{}, true};
    const auto neededChange = trigger.neededChange(Service, {record("a", true), record("b", false)}, roster,
                                   TimePoint(10s));
    REQUIRE(neededChange);
    CHECK(neededChange->reason == ChangeReason::Lost);
    const auto urgent = trigger.neededChange(Service, {record("a", true, true), record("b", false)},
                                       roster, TimePoint(10s));
    REQUIRE(urgent);
    CHECK(urgent->reason == ChangeReason::Moved);
}
