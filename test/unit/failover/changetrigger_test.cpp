#include "nutmegtide/failover/changetrigger.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");

ServerRecord record(const std::string &id, bool isPrimary, bool isLeaving = false)
{
    ServerRecord result;
    result.announcement.server = ServerId(id);
    result.announcement.service = Service;
    result.announcement.isPrimary = isPrimary;
    result.announcement.isLeaving = isLeaving;
    return result;
}

// Returns a trigger that has already inspected the service, with a change that ended at 9 s.
ChangeTrigger readyTrigger()
{
    ChangeTrigger trigger;
    trigger.startLeading(TimePoint(0s));
    trigger.onChangeEnded(Service, ServerId("a"), TimePoint(9s));
    return trigger;
}

} // namespace

TEST_CASE("a new control leader inspects each service once, after all servers had time to announce "
          "themselves")
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

TEST_CASE("servers in the roster take part in a change even if they haven't announced themselves")
{
    ChangeTrigger trigger;
    trigger.startLeading(TimePoint(0s));
    const auto neededChange = trigger.neededChange(Service, {record("a", true)},
                                                   {{ServerId("a"), ServerId("b"), ServerId("c")}},
                                                   TimePoint(10s));
    REQUIRE(neededChange);
    CHECK(neededChange->servers.size() == 3);
}

TEST_CASE("conditions that start a change of primary")
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
            {"the primary is leaving",
             {record("a", true, true), record("b", false)},
             {},
             ChangeReason::Moved},
            {"the primary is leaving, but so is its only replica",
             {record("a", true, true), record("b", false, true)},
             {},
             {}},
            {"a complaint", healthy, {complaint("e1", "a", 50ms)}, ChangeReason::Lost},
            {"a complaint about a replica", healthy, {complaint("e1", "b", 50ms)}, {}},
            {"a persistent complaint of one entry VM",
             healthy,
             {complaint("e1", "a", 2s)},
             ChangeReason::Lost},
            {"persistent complaints of two entry VMs",
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

TEST_CASE("with many entry VMs, a primary is moved only if enough of them complain persistently")
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
        const auto neededChange = trigger.neededChange(Service,
                                                       {record("a", true), record("b", false)}, {},
                                                       TimePoint(10s));
        REQUIRE(neededChange.has_value());
        CHECK((neededChange->reason == row.reason));
    }
}

TEST_CASE("a complaint expires unless it is repeated, and when a change ends")
{
    const std::vector<ServerRecord> servers {record("a", true), record("b", false)};
    ChangeTrigger trigger = readyTrigger();
    trigger.complain({"e1", Service, ServerId("a"), 0ms}, TimePoint(10s));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(11'100ms)));
    trigger.complain({"e1", Service, ServerId("a"), 0ms}, TimePoint(12s));
    trigger.onChangeEnded(Service, ServerId("a"), TimePoint(12s));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(12'500ms)));
}

TEST_CASE("a service without any primary is changed only after that has lasted")
{
    const std::vector<ServerRecord> servers {record("a", false), record("b", false)};
    ChangeTrigger trigger = readyTrigger();
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(10s)));
    CHECK_FALSE(trigger.neededChange(Service, servers, {}, TimePoint(11s)));
    const auto neededChange = trigger.neededChange(Service, servers, {}, TimePoint(12s));
    REQUIRE(neededChange);
    CHECK((neededChange->reason == ChangeReason::Lost));
}

TEST_CASE("an unanswered order is superseded by a later one, but more urgent reasons come first")
{
    ChangeTrigger trigger = readyTrigger();
    const RosterView roster {{}, true};
    const auto neededChange = trigger.neededChange(Service, {record("a", true), record("b", false)},
                                                   roster, TimePoint(10s));
    REQUIRE(neededChange);
    CHECK(neededChange->reason == ChangeReason::Lost);
    const auto urgent = trigger.neededChange(Service, {record("a", true, true), record("b", false)},
                                             roster, TimePoint(10s));
    REQUIRE(urgent);
    CHECK(urgent->reason == ChangeReason::Moved);
}
