#include "site/updatefilter.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

wire::ServerRecord record(const std::string &server, std::int64_t sequence, bool isPrimary = false)
{
    wire::ServerRecord result;
    result.server = server;
    result.sequence = sequence;
    result.isPrimary = isPrimary;
    return result;
}

std::vector<std::string> namesOf(const std::vector<wire::ServerRecord> &records)
{
    std::vector<std::string> names;
    for (const wire::ServerRecord &one : records)
        names.push_back(one.server);
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("only records that changed since their delivery are sent again")
{
    UpdateFilter filter;
    const TimePoint now(100s);
    const auto first = filter.unknown({record("a", 1), record("b", 1)}, now);
    CHECK(namesOf(first) == Names {"a", "b"});
    CHECK(namesOf(filter.unknown({record("a", 1), record("b", 1)}, now)) == Names {"a", "b"});
    filter.delivered(first);
    struct Row
    {
        const char *what;
        wire::ServerRecord b;
        Names told;
    };
    wire::ServerRecord leaving = record("b", 3);
    leaving.isLeaving = true;
    const Row rows[] = {{"its announcement again", record("b", 2), {}},
                        {"it leads", record("b", 3, true), {"b"}},
                        {"it leaves", leaving, {"b"}},
                        {"a newcomer", record("c", 1), {"c"}}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        CHECK(namesOf(filter.unknown({record("a", 2), row.b}, now)) == row.told);
    }
}

TEST_CASE("a changed leaving time alone isn't an update")
{
    UpdateFilter filter;
    wire::ServerRecord leaving = record("a", 1);
    leaving.__set_leavingMilliseconds(100);
    filter.delivered(filter.unknown({leaving}, TimePoint(100s)));
    leaving.__set_leavingMilliseconds(2100);
    CHECK(filter.unknown({leaving}, TimePoint(102s)).empty());
}

TEST_CASE("everything is sent again after a failed delivery, and periodically in case of a restart")
{
    UpdateFilter filter;
    TimePoint now(100s);
    filter.delivered(filter.unknown({record("a", 1)}, now));
    CHECK(filter.unknown({record("a", 1)}, now).empty());
    filter.lost();
    CHECK(namesOf(filter.unknown({record("a", 1)}, now)) == Names {"a"});
    filter.delivered({record("a", 1)});
    now += 9s;
    CHECK(filter.unknown({record("a", 1)}, now).empty());
    now += 1s;
    CHECK(namesOf(filter.unknown({record("a", 1)}, now)) == Names {"a"});
}
