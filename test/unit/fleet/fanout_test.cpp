#include "nutmegtide/fleet/fanout.h"

#include <doctest/doctest.h>
#include <map>

using namespace nutmegtide;

namespace {

std::vector<FanOutMember> makeMembers(int count, int domains)
{
    std::vector<FanOutMember> members;
    for (int i = 0; i < count; ++i) {
        members.push_back({VmName("vm-" + std::to_string(i)),
                           FailureDomain("fd-" + std::to_string(i % domains))});
    }
    return members;
}

// Follows every message and returns the depth of the tree.
int follow(const std::vector<VmName> &members, std::map<VmName, int> &received)
{
    int depth = 0;
    for (const FanOutPart &part : fanOut(members)) {
        ++received[part.receiver];
        depth = std::max(depth, 1 + follow(part.onward, received));
    }
    return depth;
}

} // namespace

TEST_CASE("a fan-out reaches each member exactly once within the tree's depth")
{
    struct Row
    {
        int members;
        int depth;
    };
    const Row rows[] = {{0, 0}, {1, 1}, {8, 1}, {9, 2}, {72, 2}, {81, 3}, {729, 4}, {3'100, 4}};
    for (const Row &row : rows) {
        CAPTURE(row.members);
        std::map<VmName, int> received;
        CHECK(follow(pushOrder(makeMembers(row.members, 7), 1), received) == row.depth);
        CHECK(int(received.size()) == row.members);
        for (const auto &entry : received) {
            CAPTURE(entry.first);
            CHECK(entry.second == 1);
        }
    }
}

TEST_CASE("a push order keeps failure domains together and changes with the revision")
{
    const std::vector<FanOutMember> members = makeMembers(40, 4);
    std::map<VmName, FailureDomain> domains;
    for (const FanOutMember &member : members)
        domains[member.vm] = member.failureDomain;
    const std::vector<VmName> first = pushOrder(members, 1);
    int crossings = 0;
    for (std::size_t i = 1; i < first.size(); ++i)
        crossings += domains[first[i]] == domains[first[i - 1]] ? 0 : 1;
    CHECK(crossings == 3);
    CHECK(first != pushOrder(members, 2));
    CHECK(first == pushOrder({members.rbegin(), members.rend()}, 1));
}
