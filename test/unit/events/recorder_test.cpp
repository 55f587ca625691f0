#include "nutmegtide/events/recorder.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <set>
#include <thread>
#include <unistd.h>

using namespace nutmegtide;

namespace {

RecorderIdentity identity()
{
    return {VmName("entry-1"), FailureDomain("a"), 3};
}

// A folder of its own for each test, removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string text = (std::filesystem::temp_directory_path() / "events-XXXXXX").string();
        REQUIRE(mkdtemp(text.data()) != nullptr);
        m_path = text;
    }
    ~Folder() { std::filesystem::remove_all(m_path); }

    std::string file() const { return m_path + "/events.jsonl"; }

private:
    std::string m_path;
};

} // namespace

TEST_CASE("the ring is bounded and says what each reader misses")
{
    Recorder recorder(identity(), 3);
    for (int i = 0; i < 5; ++i)
        recorder.record(EventKind::NodeStarted);
    struct Row
    {
        std::uint64_t after;
        std::size_t most;
        std::size_t events;
        std::uint64_t dropped;
        std::uint64_t next;
    };
    const Row rows[] = {{0, 10, 3, 2, 5}, {0, 1, 1, 2, 3},  {1, 10, 3, 1, 5},
                        {3, 10, 2, 0, 5}, {5, 10, 0, 0, 5}, {9, 10, 0, 0, 5}};
    for (const Row &row : rows) {
        CAPTURE(row.after);
        CAPTURE(row.most);
        const EventRingPage page = recorder.ring().page(row.after, row.most);
        CHECK(page.events.size() == row.events);
        CHECK(page.dropped == row.dropped);
        CHECK(page.nextSequence == row.next);
    }
    CHECK(recorder.ring().dropped() == 2);
}

TEST_CASE("events carry identity, fields, cause and a rising stamp")
{
    Recorder recorder(identity(), 10, [] { return WallTime(1s); });
    const EventId cause = recorder.record(EventKind::PrimarySuspected);
    recorder.observe(HlcTime {90'000'000, 0});
    recorder.record(EventKind::PrimaryChangeStarted, {.database = DatabaseName("shop"), .term = 5},
                    cause);
    const auto events = recorder.ring().page(0, 10).events;
    REQUIRE(events.size() == 2);
    CHECK(cause.text() == "entry-1-3-1");
    CHECK(events[1].id.text() == "entry-1-3-2");
    CHECK(events[1].cause == cause);
    CHECK(events[1].vm == identity().vm);
    CHECK(events[1].term == 5);
    CHECK(events[1].time > HlcTime {90'000'000, 0});
}

TEST_CASE("threads that record at the same time get ids and stamps of their own")
{
    Recorder recorder(identity(), 1000);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&recorder] {
            for (int j = 0; j < 100; ++j)
                recorder.record(EventKind::ConnectionClosed);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const auto events = recorder.ring().page(0, 1000).events;
    std::set<std::string> ids;
    for (std::size_t i = 0; i < events.size(); ++i) {
        ids.insert(events[i].id.text());
        CHECK((i == 0 || events[i - 1].time < events[i].time));
    }
    CHECK(ids.size() == 400);
}

TEST_CASE("the event file is bounded and holds whole lines")
{
    const Folder folder;
    constexpr std::uint64_t Limit = 1000;
    Recorder recorder(identity(), 100);
    recorder.attachFile(std::make_unique<EventFile>(folder.file(), Limit));
    for (int i = 0; i < 20; ++i)
        recorder.record(EventKind::NodeStarted);
    for (const std::string &path : {folder.file(), folder.file() + ".1"}) {
        CAPTURE(path);
        CHECK(std::filesystem::file_size(path) <= Limit);
        std::ifstream stream(path);
        std::string line;
        while (std::getline(stream, line))
            CHECK((eventFromJson(line).kind == EventKind::NodeStarted));
    }
    CHECK(recorder.fileFailures() == 0);
}

TEST_CASE("a file that cannot be opened or written is a typed error and loses no event")
{
    CHECK_THROWS_AS(EventFile("/dev/null/events.jsonl", 100), EventFileError);
    Recorder recorder(identity(), 10);
    recorder.attachFile(std::make_unique<EventFile>("/dev/full", 1'000'000));
    recorder.record(EventKind::NodeStarted);
    CHECK(recorder.fileFailures() == 1);
    CHECK(recorder.ring().page(0, 10).events.size() == 1);
}
