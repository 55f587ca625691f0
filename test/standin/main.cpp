// A stand-in for a backend server: a key-value table with a replicated log, for
// tests, benchmarks and the demo. docs/BACKENDS.md describes what it serves.
#include "announcer.h"
#include "httpserver.h"
#include "replicator.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace nutmegtide;
using namespace nutmegtide::standin;

constexpr int ExitUsage = 64;

void writePortFile(const std::string &path, const Endpoint &address)
{
    const std::string draft = path + ".new";
    std::ofstream(draft) << Json {{"address", toString(address)}}.dump() << '\n';
    if (std::rename(draft.c_str(), path.c_str()) != 0)
        throw StandinError("can't write " + path);
}

void start(StandinState &state, const Options &options)
{
    state.setDelays({options.lag, options.ship, false});
    if (state.isRestarted())
        return;
    if (options.isPrimary)
        state.startAsPrimary(Clock::now());
    if (options.follow)
        state.startAsReplica(*options.follow);
}

Announcement identityOf(const Options &options, const Endpoint &address)
{
    Announcement identity;
    identity.server = options.id;
    identity.address = address;
    identity.database = options.database;
    identity.failureDomain = options.failureDomain;
    identity.slots = options.slots;
    identity.connections = options.connections;
    return identity;
}

void serve(const Options &options, const sigset_t &stopSignals)
{
    std::optional<Journal> journal;
    if (!options.dataFolder.empty())
        journal.emplace(options.dataFolder + "/journal");
    StandinState state(journal ? &*journal : nullptr, options.voters, options.state);
    start(state, options);
    SharedBudget budget(options.connections, options.isDividing);
    HttpServer server(state, options, budget);
    Announcer announcer(state, budget, identityOf(options, server.address()), options.announce);
    state.setChangeHook([&announcer] { announcer.wake(); });
    const Replicator replicator(state);
    if (!options.portFile.empty())
        writePortFile(options.portFile, server.address());
    int signal = 0;
    sigwait(&stopSignals, &signal);
    state.setChangeHook(nullptr);
    state.stop();
}

} // namespace

int main(int argc, const char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    // Blocked before any thread starts, so that only sigwait() takes them.
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    try {
        serve(parseOptions(argc, argv), stopSignals);
        return 0;
    } catch (const UsageError &error) {
        std::cerr << "nutmegtide-standin: " << error.what() << '\n';
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "nutmegtide-standin: " << error.what() << '\n';
        return 1;
    }
}
