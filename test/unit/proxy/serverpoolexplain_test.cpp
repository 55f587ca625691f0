// Explanations of the choice of a reader.
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");
const TimePoint Start(100s);
constexpr std::size_t Most = 100;
const ReadNeed Need {{1, 9}, Start - 80ms};

std::vector<ServerRecord> recordsOf(const std::vector<const char *> &names)
{
    std::vector<ServerRecord> records;
    for (const char *name : names) {
        ServerRecord record;
        record.announcement.server = ServerId(name);
        record.announcement.service = Service;
        record.announcement.failureDomain = FailureDomain(name);
        record.announcement.slots = 4;
        record.announcement.isPrimary = records.empty();
        records.push_back(record);
    }
    return records;
}

// A pool in the failure domain "a" with the primary "a" and the replicas "b" and "c".
ServerPool poolOf(bool isBalanced)
{
    ServerPool pool(FailureDomain("a"), 2016);
    pool.setServers(recordsOf({"a", "b", "c"}), Start);
    if (isBalanced)
        pool.setBalancedServices({Service});
    return pool;
}

const ReadCandidate &candidateOf(const ReaderExplanation &explanation, const char *server)
{
    return *std::find_if(explanation.candidates.begin(), explanation.candidates.end(),
                         [server](const ReadCandidate &one) {
                             return one.server == ServerId(server);
                         });
}

void changeRecord(ServerPool &pool, const std::function<void(ServerRecord &)> &change)
{
    std::vector<ServerRecord> records = recordsOf({"a", "b", "c"});
    change(records[1]);
    pool.setServers(records, Start);
}

} // namespace

// Guards against an explanation that names another reason than the one that excludes the server.
TEST_CASE("each reason against a reader is named, and the server is not chosen")
{
    const ServerId b("b");
    struct Row
    {
        ReadExclusion exclusion;
        std::function<void(ServerPool &)> cause;
    };
    const Row rows[] = {
            {ReadExclusion::Gone,
             [](ServerPool &pool) { changeRecord(pool, [](auto &one) { one.isGone = true; }); }},
            {ReadExclusion::Leaving,
             [](ServerPool &pool) {
                 changeRecord(pool, [](auto &one) { one.announcement.isLeaving = true; });
             }},
            {ReadExclusion::Failing, [&](ServerPool &pool) { pool.noteFailure(b, Start); }},
            {ReadExclusion::Avoided, [&](ServerPool &pool) { pool.noteOverload(b, Start); }},
            {ReadExclusion::WrongAddress, [&](ServerPool &pool) { pool.noteWrongAddress(b); }},
            {ReadExclusion::NoConnectionLeft,
             [&](ServerPool &pool) { pool.noteConnectionLimit(b, Start); }},
            {ReadExclusion::Behind,
             [&](ServerPool &pool) { pool.noteMissing(b, Need, Start - 1ms); }},
    };
    for (const bool isBalanced : {false, true}) {
        for (const Row &row : rows) {
            CAPTURE(isBalanced);
            CAPTURE(std::string(toString(row.exclusion)));
            ServerPool pool = poolOf(isBalanced);
            row.cause(pool);
            const auto explanation = pool.explainReaders(Service, Need, Most, Start);
            const ReadCandidate &candidate = candidateOf(explanation, "b");
            // A service that isn't balanced asks a replica that is behind at a higher cost.
            if (row.exclusion == ReadExclusion::Behind && !isBalanced) {
                CHECK_FALSE(candidate.exclusion);
                CHECK(candidate.price > 200);
                continue;
            }
            CHECK((candidate.exclusion == row.exclusion));
            CHECK_FALSE(candidate.rating);
            CHECK(explanation.candidates.back().server == b);
            CHECK(explanation.chosen != b);
        }
    }
}

// Guards against an explanation that differs from the decision.
TEST_CASE("the explained probabilities are those with which servers are drawn")
{
    ServerPool pool = poolOf(true);
    pool.noteBalancedAnswer(ServerId("b"), 60ms, {}, Start);
    pool.noteBalancedAnswer(ServerId("c"), 30ms, {}, Start);
    const auto explanation = pool.explainReaders(Service, {}, Most, Start);
    CHECK(explanation.isBalanced);
    CHECK(explanation.chosen == explanation.candidates.front().server);
    constexpr int Draws = 20'000;
    std::map<ServerId, int> counts;
    for (int i = 0; i < Draws; ++i)
        ++counts[*pool.chooseReader(Service, {}, {}, Start)];
    for (const ReadCandidate &candidate : explanation.candidates) {
        CAPTURE(candidate.server);
        const double share = static_cast<double>(counts[candidate.server]) / Draws;
        CHECK(std::abs(share - candidate.rating.value()) < 0.02);
    }
}

// Guards against a named server that chooseReader() doesn't choose, and values without their age.
TEST_CASE("where nothing is drawn, the candidate with the lowest cost is chosen")
{
    ServerPool pool = poolOf(false);
    pool.noteAlive(ServerId("c"), Start);
    pool.noteAnswer(ServerId("c"), 5ms);
    const auto explanation = pool.explainReaders(Service, {}, Most, Start + 10ms);
    CHECK_FALSE(explanation.isBalanced);
    CHECK(explanation.chosen == ServerId("c"));
    CHECK(explanation.chosen == pool.chooseReader(Service, {}, {}, Start + 10ms));
    CHECK(explanation.candidates.front().server == ServerId("c"));
    CHECK(candidateOf(explanation, "c").responseTime.value == doctest::Approx(5));
    CHECK((candidateOf(explanation, "c").responseTime.age == Duration(10ms)));
    CHECK_FALSE(candidateOf(explanation, "b").responseTime.age);
    CHECK(candidateOf(explanation, "b").price == doctest::Approx(24)); // distance, new connection
}

// Guards against explanations that consume random numbers, count as reads or are watched as shares.
TEST_CASE("explaining doesn't change the next draws or any counter")
{
    ServerPool explained = poolOf(true);
    ServerPool untouched = poolOf(true);
    for (ServerPool *pool : {&explained, &untouched})
        pool->noteBalancedAnswer(ServerId("b"), 300ms, {}, Start);
    for (int i = 0; i < 100; ++i)
        explained.explainReaders(Service, Need, Most, Start + i * 1ms);
    CHECK(explained.readCounts().primary + explained.readCounts().otherDomain == 0);
    CHECK(explained.takeShareChanges().empty());
    for (int i = 0; i < 200; ++i) {
        const TimePoint now = Start + 1s + i * 10ms;
        CHECK(explained.chooseReader(Service, Need, {}, now)
              == untouched.chooseReader(Service, Need, {}, now));
    }
    CHECK(explained.takeShareChanges().size() == untouched.takeShareChanges().size());
}

// Guards against answers whose size grows with the site.
TEST_CASE("candidates above the limit are counted, and the best ones are kept")
{
    ServerPool pool = poolOf(false);
    const auto explanation = pool.explainReaders(Service, {}, 1, Start);
    CHECK(explanation.candidates.size() == 1);
    CHECK(explanation.omitted == 2);
    CHECK(explanation.chosen == explanation.candidates.front().server);
}
