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

// Formats a change as "+vm" or "-vm", empty for none.
std::string textOf(const std::optional<ControlMemberChange> &change)
{
    if (!change)
        return "";
    if (const auto *added = std::get_if<AddControlMember>(&*change))
        return '+' + added->member.vm.text();
    return '-' + std::get<RemoveControlMember>(*change).vm.text();
}

} // namespace

TEST_CASE("members are added and removed as the members and candidates require")
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
            {"a member lost its folder", three, allHeard, {candidate("c", "new", "3")}, "-c"},
            {"one is missing", {three[0], three[1]}, allHeard, {candidate("d", "fd", "4")}, "+d"},
            {"a VM with an emptied disk may be added again",
             {three[0], three[1]},
             allHeard,
             {candidate("c", "new", "3")},
             "+c"},
            {"a member is silent, and a standby is available",
             three,
             cSilent,
             {candidate("d", "fd", "4")},
             "-c"},
            {"a member is silent, and no standby is available", three, cSilent, {}, ""},
            {"the only standby is silent too", three, cSilent, {candidate("d", "fd", "4", 10s)}, ""},
            {"a standby in a failure domain without a member is preferred",
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

TEST_CASE("a standby that doesn't become a member in time is passed over for another one")
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

TEST_CASE("tolerating more losses takes more members")
{
    const Members three {{VmName("a"), "fa"}, {VmName("b"), "fb"}, {VmName("c"), "fc"}};
    ControlMemberPlanner planner(2);
    planner.heard(candidate("d", "fd", "4"));
    CHECK(textOf(planner.next(three, {}, VmName("a"), Now)) == "+d");
}
