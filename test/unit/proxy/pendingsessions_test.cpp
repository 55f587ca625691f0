#include "nutmegtide/proxy/pendingsessions.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("pending sessions keep their statements until they are taken")
{
    const TimePoint start {100s};
    PendingSessions sessions;
    sessions.add(1, {DatabaseName("casks"), {}, start, {}});
    sessions.add(2, {DatabaseName("casks"), {}, start + 1s, {}});
    sessions.add(3, {DatabaseName("casks"), {}, start + 2s, {}});
    CHECK(sessions.queueOf(4) == nullptr);
    REQUIRE(sessions.queueOf(3) != nullptr);
    sessions.queueOf(3)->emplace_back();
    CHECK(sessions.takeQueuedBefore(start + 1s) == std::vector<SessionKey> {1});
    sessions.remove(2);
    const auto all = sessions.takeAll();
    REQUIRE(all.size() == 1);
    CHECK(all.at(3).queue.size() == 1);
    CHECK(sessions.takeAll().empty());
}
