#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "unit/settings/temporaryfolder.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// Exit codes of `nutmegtide apply`.
constexpr int Accepted = 0;
constexpr int BadSettings = 2;
constexpr int Conflict = 3;

const std::vector<std::string> Nodes = {"a1", "b1", "c1", "d1"};

std::vector<NodeOptions> threeControlVmsAndOne()
{
    return {{"a1", "fd-a", true}, {"b1", "fd-b", true}, {"c1", "fd-c", true}, {"d1", "fd-d"}};
}

// The fleet's settings, as an operator keeps them.
std::string limitsOf(int queueLength)
{
    return "[limits]\nqueue_length = " + std::to_string(queueLength) + "\n";
}

std::unique_ptr<ChildProcess> startApply(const TestFleet &fleet, const std::string &node,
                                         const TemporaryFolder &folder,
                                         const std::vector<std::string> &more)
{
    std::vector<std::string> words {"apply", "--config", folder.path(), "--at",
                                    toString(fleet.operators(node))};
    words.insert(words.end(), more.begin(), more.end());
    return std::make_unique<ChildProcess>(NUTMEGTIDE_BINARY, words);
}

int apply(const TestFleet &fleet, const std::string &node, const TemporaryFolder &folder,
          const std::vector<std::string> &more = {})
{
    return startApply(fleet, node, folder, more)->waitForExit().code;
}

Json configOf(const TestFleet &fleet, const std::string &node)
{
    return HttpClient(fleet.operators(node)).get("/v1/config").json();
}

// Waits until a revision is in force on a node; fails if one below `least`, which the node had
// before, is on the way. None at all is allowed, as on a VM without a disk that is still alone.
void waitInForce(const TestFleet &fleet, const std::string &node, std::uint64_t revision,
                 std::uint64_t least)
{
    waitUntil(
            [&] {
                const auto inForce = configOf(fleet, node).at("in_force").get<std::uint64_t>();
                CAPTURE(node);
                CHECK((inForce == 0 || inForce >= least));
                return inForce >= revision;
            },
            "the revision in force on " + node);
}

void waitAccepted(const TestFleet &fleet, const std::string &node, const TemporaryFolder &folder,
                  const std::vector<std::string> &more)
{
    waitUntil([&] { return apply(fleet, node, folder, more) == Accepted; }, "acceptance");
}

} // namespace

TEST_CASE("an applied folder comes in force on every VM, once and whole")
{
    TestFleet fleet(threeControlVmsAndOne());
    const TemporaryFolder folder;
    folder.write("10.toml", limitsOf(11));
    waitAccepted(fleet, "d1", folder, {"--change-id", "first"});
    for (const std::string &node : Nodes) {
        CAPTURE(node);
        waitInForce(fleet, node, 1, 1);
        CHECK(configOf(fleet, node).at("change_id") == "first");
    }

    SUBCASE("a folder that is faulty in its second file changes nothing")
    {
        folder.write("10.toml", limitsOf(12));
        folder.write("20.toml", "[limits]\nqueue_lenght = 13\n");
        CHECK(apply(fleet, "a1", folder) == BadSettings);
        for (const std::string &node : Nodes)
            CHECK(configOf(fleet, node).at("revision") == 1);
    }
    SUBCASE("of two racing operators one wins and the other is told who")
    {
        folder.write("10.toml", limitsOf(21));
        const TemporaryFolder other;
        other.write("10.toml", limitsOf(22));
        const auto ana = startApply(fleet, "a1", folder, {"--base", "1", "--change-id", "ana"});
        const auto ben = startApply(fleet, "d1", other, {"--base", "1", "--change-id", "ben"});
        const int codes[] = {ana->waitForExit().code, ben->waitForExit().code};
        CHECK(std::min(codes[0], codes[1]) == Accepted);
        CHECK(std::max(codes[0], codes[1]) == Conflict);
        const std::string winner = codes[0] == Accepted ? "ana" : "ben";
        for (const std::string &node : Nodes) {
            waitInForce(fleet, node, 2, 1);
            CHECK(configOf(fleet, node).at("change_id") == winner);
        }
        const Json submission {{"change_id", "cem"}, {"base_revision", 1}, {"toml", limitsOf(23)}};
        const HttpAnswer answer = HttpClient(fleet.operators("b1")).post("/v1/config", submission);
        CHECK(answer.status == 409);
        CHECK(answer.json().at("winner") == winner);
    }
}

TEST_CASE("a revision in force outlives the loss of each VM, and a resend gets its first answer")
{
    TestFleet fleet(threeControlVmsAndOne());
    const TemporaryFolder first;
    first.write("10.toml", limitsOf(1));
    waitAccepted(fleet, "a1", first, {"--change-id", "first"});

    std::uint64_t revision = 1;
    for (const std::string &lost : Nodes) {
        CAPTURE(lost);
        for (const std::string &node : Nodes)
            waitInForce(fleet, node, revision, revision - 1);
        fleet.kill(lost);
        // One of the lost VMs led control, so that another one answers.
        const std::string alive = lost == "a1" ? "d1" : "a1";
        waitAccepted(fleet, alive, first, {"--change-id", "first"});
        const TemporaryFolder next;
        next.write("10.toml", limitsOf(100 + int(revision)));
        waitAccepted(fleet, alive, next, {"--change-id", "after-" + lost});
        ++revision;
        waitInForce(fleet, alive, revision, revision - 1);
        fleet.restart(lost);
        waitInForce(fleet, lost, revision, revision - 1);
        CHECK(configOf(fleet, lost).at("change_id") == "after-" + lost);
    }

    for (const std::string &node : Nodes)
        waitInForce(fleet, node, revision, revision - 1);
    for (const std::string &node : Nodes)
        fleet.kill(node);
    for (const std::string &node : Nodes)
        fleet.restart(node);
    for (const std::string &node : Nodes)
        waitInForce(fleet, node, revision, revision);
}
