#include "nutmegtide/control/controlmemberplanner.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const TimePoint Now(100s);

ControlCandidate candidate(const std::string &vm, const std::string &folder,
                           const std::string &domain, Duration silence = 0s)
{
    return {{VmName(vm), folder}, FailureDomain(domain), Now - silence};
}

// Says the change in words: "+vm" or "-vm", empty for none.
std::string textOf(const std::optional<ControlMemberChange> &change)
{
    if (!change)
        return "";
    if (const auto *added = std::get_if<AddControlMember>(&*change))
        return '+' + added->member.vm.text();
    return '-' + std::get<RemoveControlMember>(*change).vm.text();
}

} // namespace

TEST_CASE("which member is added or removed next")
{
    const Members three {{VmName("a"), "fa"}, {VmName("b"), "fb"}, {VmName("c"), "fc"}};
    const std::map<VmName, TimePoint> allHeard {{VmName("b"), Now}, {VmName("c"), Now}};
    const std::map<VmName, TimePoint> cSilent {{VmName("b"), Now}, {VmName("c"), Now - 4s}};
    struct Row
    {
        const char *what;
        Members members;
        std::map<VmName, TimePoint> heard;
        std::vector<ControlCandidate> candidates;
        std::string change;
    };
    const Row rows[] = {
            {"enough members", three, allHeard, {candidate("d", "fd", "4")}, ""},
            {"one lost its folder", three, allHeard, {candidate("c", "new", "3")}, "-c"},
            {"one is missing", {three[0], three[1]}, allHeard, {candidate("d", "fd", "4")}, "+d"},
            {"a wiped one may come back",
             {three[0], three[1]},
             allHeard,
             {candidate("c", "new", "3")},
             "+c"},
            {"one is silent, and another stands by",
             three,
             cSilent,
             {candidate("d", "fd", "4")},
             "-c"},
            {"one is silent, and nobody stands by", three, cSilent, {}, ""},
            {"the one that stands by is silent too",
             three,
             cSilent,
             {candidate("d", "fd", "4", 10s)},
             ""},
            {"another failure domain goes first",
             {three[0], three[1]},
             allHeard,
             {candidate("a", "fa", "1"), candidate("b", "fb", "2"), candidate("d", "fd", "2"),
              candidate("e", "fe", "5")},
             "+e"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ControlMemberPlanner planner(1);
        for (const ControlCandidate &one : row.candidates)
            planner.heard(one);
        CHECK(textOf(planner.next(row.members, row.heard, VmName("a"), Now)) == row.change);
    }
}

TEST_CASE("a standby that doesn't become a member in time gives way to another one")
{
    const Members two {{VmName("a"), "fa"}, {VmName("b"), "fb"}};
    ControlMemberPlanner planner(1);
    std::string tried;
    for (Duration passed = 0s; passed < 8s; passed += 1s) {
        for (const char *vm : {"c", "d"})
            planner.heard(candidate(vm, "f", "3", -passed));
        tried += textOf(planner.next(two, {}, VmName("a"), Now + passed));
    }
    CHECK(tried == "+c+c+c+c+d+d+d+d");
}

TEST_CASE("more losses to bear take more members")
{
    const Members three {{VmName("a"), "fa"}, {VmName("b"), "fb"}, {VmName("c"), "fc"}};
    ControlMemberPlanner planner(2);
    planner.heard(candidate("d", "fd", "4"));
    CHECK(textOf(planner.next(three, {}, VmName("a"), Now)) == "+d");
}
