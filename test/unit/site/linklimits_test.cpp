#include "nutmegtide/site/linklimits.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const TimePoint Start {100s};

struct LimitsFixture
{
    std::map<LinkKey, std::size_t> held; // what a measurement finds
    int measurements = 0;
    LinkLimits limits {{1000, 4, 30s}, [this](LinkKey link) {
                           ++measurements;
                           return held[link];
                       }};
};

} // namespace

// Guards against incomplete frames that fill the memory together, each within its own limit.
TEST_CASE("the links with the most are closed while all together have too much")
{
    LimitsFixture fixture;
    for (LinkKey link = 1; link <= 4; ++link) {
        fixture.limits.add(link, Start);
        fixture.limits.setIncomplete(link, link * 50, link * 100, Start);
    }
    CHECK(fixture.limits.takeExcess().empty());
    fixture.limits.setIncomplete(2, 1, 250, Start);
    CHECK(fixture.limits.takeExcess() == std::vector<LinkKey> {4});
    CHECK(fixture.limits.memory() == 650);
    fixture.limits.setIncomplete(3, 0, 0, Start);
    CHECK(fixture.limits.memory() == 350);
    CHECK(fixture.measurements == 0);
}

// Guards against a busy link that is closed for what it has long since got rid of.
TEST_CASE("a link is measured before it is closed for what was noted")
{
    LimitsFixture fixture;
    fixture.limits.add(1, Start);
    fixture.limits.add(2, Start);
    fixture.limits.noteHeld(1, 800);
    fixture.limits.noteHeld(2, 300);
    fixture.held = {{1, 10}, {2, 300}};
    CHECK(fixture.limits.takeExcess().empty());
    CHECK(fixture.limits.memory() == 310);
    CHECK(fixture.measurements == 1);
    fixture.limits.noteHeld(2, 800);
    fixture.held[2] = 1100;
    CHECK(fixture.limits.takeExcess() == std::vector<LinkKey> {2});
    CHECK(fixture.limits.memory() == 10);
}

// Guards against a measurement with each frame of a link that is close to the limit.
TEST_CASE("a link that has hardly grown since it was measured isn't measured again")
{
    LimitsFixture fixture;
    fixture.limits.add(1, Start);
    fixture.limits.noteHeld(1, 1001);
    fixture.held[1] = 990;
    CHECK(fixture.limits.takeExcess().empty());
    fixture.limits.noteHeld(1, 20);
    CHECK(fixture.limits.takeExcess() == std::vector<LinkKey> {1});
    CHECK(fixture.measurements == 1);
}

// Guards against links without a frame that leave no room for others.
TEST_CASE("the oldest link that has never sent a whole frame makes room for a new one")
{
    LimitsFixture fixture;
    for (LinkKey link = 1; link <= 4; ++link)
        CHECK_FALSE(fixture.limits.add(link, Start));
    fixture.limits.frameTaken(1, Start);
    CHECK(fixture.limits.add(5, Start) == LinkKey(2));
    for (const LinkKey link : {3, 4, 5})
        fixture.limits.frameTaken(link, Start);
    CHECK(fixture.limits.add(6, Start) == LinkKey(6));
    fixture.limits.remove(1);
    CHECK_FALSE(fixture.limits.add(7, Start));
}

// Guards against links that send nothing, or part of a frame, for ever.
TEST_CASE("a link is closed when its first frame or the rest of a frame is overdue")
{
    LimitsFixture fixture;
    for (LinkKey link = 1; link <= 4; ++link)
        fixture.limits.add(link, Start);
    for (const LinkKey link : {2, 3, 4})
        fixture.limits.frameTaken(link, Start);
    fixture.limits.setIncomplete(3, 10, 10, Start + 20s);
    fixture.limits.setIncomplete(4, 10, 10, Start + 20s);
    CHECK(fixture.limits.takeOverdue(Start + 30s).empty());
    CHECK(fixture.limits.takeOverdue(Start + 31s) == std::vector<LinkKey> {1});
    fixture.limits.setIncomplete(3, 20, 20, Start + 40s); // more of the same frame
    fixture.limits.frameTaken(4, Start + 45s);
    fixture.limits.setIncomplete(4, 5, 5, Start + 45s);
    CHECK(fixture.limits.takeOverdue(Start + 51s) == std::vector<LinkKey> {3});
}

// Guards against limits that an ordinary site reaches, and against measurements with each frame.
TEST_CASE("3,100 busy links with 50 lanes each stay within the default limits")
{
    constexpr LinkKey Links = 3'100;
    constexpr std::size_t Held = 70'000; // bytes of 50 lanes
    constexpr int Rounds = 50;
    std::size_t measurements = 0;
    LinkLimits limits(linkLimits({}, 8'192), [&measurements](LinkKey) {
        ++measurements;
        return Held;
    });
    for (LinkKey link = 1; link <= Links; ++link)
        CHECK_FALSE(limits.add(link, Start));
    for (int round = 0; round < Rounds; ++round) {
        const TimePoint now = Start + round * 1s;
        for (LinkKey link = 1; link <= Links; ++link) {
            limits.frameTaken(link, now);
            limits.noteHeld(link, 10'000);
            limits.setIncomplete(link, 100, 4'096, now);
            limits.setIncomplete(link, 0, 0, now);
            REQUIRE(limits.takeExcess().empty());
        }
        CHECK(limits.takeOverdue(now).empty());
    }
    CHECK(measurements < Links * Rounds / 2);
}

// Guards against a VM with little memory that refuses the longest frame.
TEST_CASE("the limits of links come from the settings, the memory or the descriptors")
{
    constexpr std::size_t MebiByte = 1024 * 1024;
    ConnectionSettings settings;
    CHECK(linkLimits(settings, 8'192) == LinkLimitSettings {256 * MebiByte, 6'144, 30s});
    settings.memory = 160 * MebiByte;
    settings.descriptors = 1'000;
    CHECK(linkLimits(settings, 8'192) == LinkLimitSettings {40 * MebiByte, 750, 30s});
    settings.memory = MebiByte;
    CHECK(linkLimits(settings, 8'192).memory == 20 * MebiByte);
    settings.laneMemory = 64 * MebiByte;
    settings.mostLaneLinks = 4'000;
    settings.messageTime = 1s;
    CHECK(linkLimits(settings, 8'192) == LinkLimitSettings {64 * MebiByte, 4'000, 1s});
}
