#include "process/support/linesite.h"

#include "process/support/waituntil.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace nutmegtide::test {

const char *const SiteRoutes = R"({"version":3,
    "routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"read_own_writes",
               "timeoutMs":2000,"targetLatencyMs":1000,"priority":1,"service":"db",
               "maxStalenessMs":2000}],
    "services":[{"name":"db","maxConnections":21,"syncReplicas":1}],
    "limits":{"txIdleMs":3000}})";

LineSite::LineSite(const Shape &shape)
    : m_shape(shape)
{
    for (int number = 0; number < shape.controls; ++number) {
        const std::string address = "127.0.0." + std::to_string(number + 1);
        const bool isFirst = m_controls.empty();
        m_controls.emplace_back("core-" + std::to_string(number) + ".toml", address,
                                isFirst ? 0 : controlPort().port,
                                isFirst ? 0 : m_controls.front().peers.endpoint().port);
    }
    for (int number = 0; number < shape.entries; ++number)
        m_entries.emplace_back("front-" + std::to_string(number) + ".toml", "127.0.0.1", 0, 0);
    int number = 0;
    for (const Vm &vm : m_controls)
        m_folder.write(vm.file, controlSettings(number++, vm, true));
    number = 0;
    for (const Vm &vm : m_entries) {
        m_folder.write(vm.file,
                       settings("entry", number++, vm) + "health = \""
                               + toString(vm.health.endpoint()) + "\"\nlanes = \""
                               + toString(vm.lanes.endpoint()) + "\"\n" + shape.entrySettings);
    }
    for (Vm &vm : m_controls)
        start(vm);
    for (Vm &vm : m_entries)
        start(vm);
}

const LineSite::Vm &LineSite::at(const std::list<Vm> &vms, int number)
{
    return *std::next(vms.begin(), number);
}

LineSite::Vm &LineSite::at(std::list<Vm> &vms, int number)
{
    return *std::next(vms.begin(), number);
}

const Endpoint &LineSite::controlPort(int number) const
{
    return at(m_controls, number).callers.endpoint();
}

const Endpoint &LineSite::callers(int number) const
{
    return at(m_entries, number).callers.endpoint();
}

const Endpoint &LineSite::operators(int number) const
{
    return at(m_entries, number).operators.endpoint();
}

const Endpoint &LineSite::health(int number) const
{
    return at(m_entries, number).health.endpoint();
}

const Endpoint &LineSite::lanes(int number) const
{
    return at(m_entries, number).lanes.endpoint();
}

const Endpoint &LineSite::controlPeers(int number) const
{
    return at(m_controls, number).peers.endpoint();
}

ChildProcess &LineSite::control(int number)
{
    return *at(m_controls, number).process;
}

ChildProcess &LineSite::entry(int number)
{
    return *at(m_entries, number).process;
}

bool LineSite::isReady(int number) const
{
    return statusOf(at(m_entries, number).health.endpoint(), "GET", "/ready", "") == 200;
}

void LineSite::configure(const std::string &configuration) const
{
    const auto isAccepted = [&] {
        return std::any_of(m_controls.begin(), m_controls.end(), [&](const Vm &vm) {
            return statusOf(vm.callers.endpoint(), "PUT", "/config", configuration) == 200;
        });
    };
    waitUntil(isAccepted, "the configuration to be accepted");
}

void LineSite::announce(const LineServer &server) const
{
    const std::string body = toJson(ServerBody {server.endpoint()});
    const auto isTaken = [&] {
        return statusOf(controlPort(), "PUT", "/instances/i-1", body) == 200;
    };
    waitUntil(isTaken, "the announcement to be taken");
}

void LineSite::restartControl(int number)
{
    Vm &vm = at(m_controls, number);
    m_folder.write(vm.file, controlSettings(number, vm, false));
    start(vm);
}

void LineSite::restartEntry(int number)
{
    start(at(m_entries, number));
}

std::string LineSite::logs() const
{
    std::string text;
    for (const std::list<Vm> *vms : {&m_controls, &m_entries}) {
        for (const Vm &vm : *vms)
            text += "== " + vm.file + '\n' + logOf(vm);
    }
    return text;
}

bool LineSite::hasLogged(int control, const std::string &event) const
{
    return logOf(at(m_controls, control)).find("event=" + event) != std::string::npos;
}

std::string LineSite::logOf(const Vm &vm) const
{
    std::ifstream file(m_folder.path() + '/' + vm.file + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string LineSite::settings(const std::string &role, int number, const Vm &vm) const
{
    std::string seeds;
    for (const Vm &control : m_controls)
        seeds += (seeds.empty() ? "\"" : ", \"") + toString(control.callers.endpoint()) + '"';
    std::string text = "[node]\nname = \"" + role + '-' + std::to_string(number) + "\"\nrole = \""
            + role + "\"\nfailure_domain = \"" + std::string(1, static_cast<char>('a' + number % 3))
            + "\"\nfleet = \"site\"\nseeds = [" + seeds + "]\ndrain_seconds = 5\n";
    if (role == "control") {
        text += "tolerated_losses = " + std::to_string(m_shape.toleratedLosses) + "\ndata_dir = \""
                + m_folder.path() + "/data-" + std::to_string(number) + "\"\n";
    }
    if (role == "control" && m_shape.promotions)
        text += "promotions = \"" + toString(*m_shape.promotions) + "\"\n";
    if (role == "control")
        text += std::string("first_start = FIRST_START\n");
    const std::string address = vm.peers.endpoint().address;
    const Endpoint peers {address, m_controls.front().peers.endpoint().port};
    return text + "[listen]\ncallers = \"" + toString(vm.callers.endpoint()) + "\"\npeers = \""
            + toString(peers) + "\"\noperators = \"" + toString(vm.operators.endpoint()) + "\"\n";
}

std::string LineSite::controlSettings(int number, const Vm &vm, bool isFirstStart) const
{
    std::string text = settings("control", number, vm);
    const std::string mark = "FIRST_START";
    return text.replace(text.find(mark), mark.size(), isFirstStart ? "true" : "false");
}

void LineSite::start(Vm &vm)
{
    const std::string path = m_folder.path() + '/' + vm.file;
    const std::vector<std::string> arguments {"serve", "--config", path};
    vm.process = std::make_unique<ChildProcess>(NUTMEGTIDE_BINARY, arguments, path + ".log");
}

} // namespace nutmegtide::test
