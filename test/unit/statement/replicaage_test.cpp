#include "nutmegtide/statement/replicaage.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

TimePoint at(Duration time)
{
    return TimePoint(time);
}

} // namespace

TEST_CASE("a replica is as old as the latest proved primary position that it holds")
{
    ReplicaAge age;
    age.observePrimary(2, {2, 10}, at(100ms));
    age.observePrimary(2, {2, 20}, at(200ms));
    age.observePrimary(2, {2, 30}, at(300ms));
    age.confirmLeadership(2, at(300ms));
    struct Row
    {
        LogPosition applied;
        std::optional<Duration> expected;
    };
    const Row rows[] = {
            {{2, 9}, std::nullopt}, {{2, 10}, 250ms}, {{2, 19}, 250ms},        {{2, 20}, 150ms},
            {{2, 30}, 50ms},        {{3, 1}, 50ms},   {{1, 99}, std::nullopt},
    };
    for (const Row &row : rows) {
        CAPTURE(row.applied);
        CHECK(age.provedAge(row.applied, at(350ms)) == row.expected);
    }
}

TEST_CASE("while the primary is isolated no replica looks fresh")
{
    ReplicaAge age;
    age.observePrimary(2, {2, 10}, at(100ms));
    age.confirmLeadership(2, at(110ms));
    // The old primary still answers at its last position; no majority confirms its term.
    for (int i = 2; i <= 50; ++i)
        age.observePrimary(2, {2, 10}, at(i * 100ms));
    CHECK(age.provedAge({2, 10}, at(5s)) == Duration(4900ms));
    age.confirmLeadership(2, at(450ms));
    CHECK(age.provedAge({2, 10}, at(5s)) == Duration(4600ms));
}

TEST_CASE("a replica that stops applying but keeps announcing grows old")
{
    ReplicaAge age;
    for (int i = 1; i <= 20; ++i) {
        age.observePrimary(2, {2, static_cast<std::uint64_t>(i)}, at(i * 100ms));
        age.confirmLeadership(2, at(i * 100ms));
    }
    CHECK(age.provedAge({2, 5}, at(2s)) == Duration(1500ms));
    CHECK(age.provedAge({2, 20}, at(2s)) == Duration(0));
}

TEST_CASE("after a change of term the new primary's positions count once it is proved")
{
    ReplicaAge age;
    age.observePrimary(2, {2, 10}, at(100ms));
    age.confirmLeadership(2, at(100ms));
    age.observePrimary(2, {2, 10}, at(150ms)); // never proved
    age.confirmLeadership(3, at(160ms)); // says nothing about a primary of term 2
    CHECK(age.provedAge({2, 10}, at(300ms)) == Duration(200ms));
    age.observePrimary(3, {3, 11}, at(200ms));
    age.observePrimary(2, {2, 10}, at(250ms)); // the old primary, still answering
    age.confirmLeadership(2, at(140ms));
    CHECK(age.provedAge({3, 11}, at(300ms)) == Duration(200ms));
    age.confirmLeadership(3, at(210ms));
    CHECK(age.provedAge({3, 11}, at(300ms)) == Duration(100ms));
    CHECK(age.provedAge({2, 10}, at(300ms)) == Duration(200ms));
}

TEST_CASE("a busy group keeps a bounded history that still spans the ages in use")
{
    ReplicaAge age(10ms, 200);
    for (int i = 0; i <= 50'000; ++i) {
        const TimePoint moment = at(i * 100us);
        age.observePrimary(2, {2, static_cast<std::uint64_t>(i + 1)}, moment);
        age.confirmLeadership(2, moment);
    }
    CHECK(age.provedAge({2, 50'001}, at(5s)) == Duration(0));
    CHECK(age.provedAge({2, 40'001}, at(5s)) >= Duration(1s));
    CHECK(age.provedAge({2, 40'001}, at(5s)) <= Duration(1020ms));
    CHECK_FALSE(age.provedAge({2, 1}, at(5s)));
}
