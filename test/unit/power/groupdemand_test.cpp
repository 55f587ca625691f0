#include "nutmegtide/power/groupdemand.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a group's demand for a spare follows from its present servers and its queued reads")
{
    struct Server
    {
        ServerState state;
        std::chrono::seconds silence;
    };
    struct Row
    {
        std::string name;
        std::vector<Server> servers;
        int queuedReads;
        bool hasLostVoter;
        bool isSaturated;
        bool isIdle;
    };
    const Server ready {ServerState::Ready, 0s};
    const Row rows[] = {
            {"all present", {ready, ready, ready}, 0, false, false, false},
            {"one silent", {ready, ready, {ServerState::Ready, 6s}}, 0, true, false, false},
            {"one leaving", {ready, ready, {ServerState::Leaving, 0s}}, 0, true, false, false},
            {"a joining one", {ready, ready, {ServerState::Joining, 1s}}, 0, false, false, false},
            {"queued reads", {ready, ready, ready}, 4, false, true, false},
            {"one server more than wanted", {ready, ready, ready, ready}, 0, false, false, true},
            {"one server more than wanted, queued reads",
             {ready, ready, ready, ready},
             1,
             false,
             true,
             false},
    };
    const TimePoint now {1000s};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::map<ServerId, VoterObservation> presence;
        for (const Server &server : row.servers) {
            const ServerId id("s" + std::to_string(presence.size()));
            presence[id] = {id, server.state, {1, 1}, now - server.silence};
        }
        const GroupDemand demand = demandOf(DatabaseName("d"), presence, 3, row.queuedReads, now);
        CHECK(demand.hasLostVoter == row.hasLostVoter);
        CHECK(demand.isSaturated == row.isSaturated);
        CHECK(demand.isIdle == row.isIdle);
    }
}
