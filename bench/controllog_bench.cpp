// Counts what an entry of the control log costs: messages, syncs and bytes on
// disk. With --check it exits 1 when a stated bound is passed.

#include "controllogmodel.h"

#include <cstdio>
#include <cstring>

using namespace nutmegtide;
using namespace nutmegtide::controllog;

namespace {

// Stated by Raft's rules for three VMs: a request to and an answer from each of two followers.
constexpr double MessagesPerEntry = 4;
constexpr double SyncsPerEntry = 3; // one on each VM
// Around an entry's own bytes: two checksums, lengths, term, index and kind.
constexpr double OverheadPerEntry = 64; // bytes on one disk
// Heartbeats of 100 ms to two followers, and their answers; nothing is written.
constexpr double IdleMessagesPerSecond = 2 * 2 * 10;

constexpr std::size_t Changes = 3'600; // a day's changes of configuration
constexpr std::size_t PayloadSize = 200; // bytes

bool report(const char *name, double value, double bound)
{
    const bool isKept = value <= bound;
    std::printf("%-28s %10.2f %10.2f %s\n", name, value, bound, isKept ? "kept" : "broken");
    return isKept;
}

bool reportEntries(const Chart &chart, std::size_t perBatch)
{
    Model model(chart);
    model.counts = {};
    const Command command {CommandKind::Config, std::string(PayloadSize, 'x')};
    const std::vector<Command> batch(perBatch, command);
    for (std::size_t done = 0; done < Changes; done += perBatch)
        model.propose(batch);
    const auto count = static_cast<double>(Changes);
    const auto share = static_cast<double>(perBatch);
    std::printf("%zu entries, %zu at a time\n", model.counts.applied, perBatch);
    bool isKept = model.counts.applied == Changes;
    isKept &= report("messages per entry", double(model.counts.messages) / count,
                     MessagesPerEntry / share);
    isKept &= report("syncs per entry", double(model.counts.syncs) / count, SyncsPerEntry / share);
    isKept &= report("bytes on a disk per entry", double(model.counts.bytes) / count / 3,
                     PayloadSize + OverheadPerEntry);
    return isKept;
}

bool reportIdle(const Chart &chart)
{
    Model model(chart);
    model.counts = {};
    for (int step = 0; step < 1'000; ++step)
        model.pass(10ms);
    std::printf("idle for 10 s\n");
    bool isKept = report("messages per second", double(model.counts.messages) / 10,
                         IdleMessagesPerSecond);
    isKept &= report("syncs per second", double(model.counts.syncs) / 10, 0);
    return isKept;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    const ChartLibrary charts = ChartLibrary::embedded();
    const Chart &chart = charts.chart("control_role");
    std::printf("%-28s %10s %10s\n", "", "count", "bound");
    bool isKept = reportEntries(chart, 1);
    isKept &= reportEntries(chart, 36);
    isKept &= reportIdle(chart);
    return isCheck && !isKept ? 1 : 0;
}
