#include "site.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace rig {

namespace {

constexpr int Seeds = 3;
constexpr auto Interval = std::chrono::milliseconds(50);

} // namespace

Site::Site(std::string program, std::string folder, const Shape &shape)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_shape(shape)
{
    for (int number = 0; number < shape.controls; ++number)
        m_controls.push_back({"core-" + std::to_string(number),
                              "127.0.0." + std::to_string(number + 1), zoneOf(number)});
    for (int number = 0; number < shape.entries; ++number)
        m_entries.push_back({"front-" + std::to_string(number),
                             "127.0.0." + std::to_string(shape.controls + number + 1),
                             zoneOf(number)});
    for (Vm &vm : m_controls)
        start(vm, true, true);
    for (Vm &vm : m_entries)
        start(vm, false, true);
}

std::string Site::settings(const Vm &vm, bool isControl, bool isFirstStart) const
{
    std::ostringstream text;
    text << "[node]\nname = \"" << vm.name << "\"\nrole = \"" << (isControl ? "control" : "entry")
         << "\"\nfailure_domain = \"zone-" << vm.zone << "\"\nfleet = \"site\"\nseeds = [";
    for (int number = 0; number < std::min(Seeds, m_shape.controls); ++number)
        text << (number == 0 ? "\"" : ", \"") << controlPort(number).text() << '"';
    text << "]\nfirst_start = " << (isFirstStart ? "true" : "false")
         << "\ntolerated_losses = 1\ndrain_seconds = 6\nserver_leave_time = \"7000ms\"\n"
         << "revocation_time = \"3000ms\"\n";
    if (isControl)
        text << "data_dir = \"" << m_folder << "/data-" << vm.name << "\"\n";
    if (m_shape.promotions)
        text << "promotions = \"" << m_shape.promotions->text() << "\"\n";
    const std::uint16_t callersPort = isControl ? m_controlPort : m_frontPort;
    text << "\n[listen]\ncallers = \"" << vm.host << ':' << callersPort << "\"\npeers = \""
         << vm.host << ':' << m_internalPort << "\"\noperators = \"" << vm.host << ':'
         << m_operatorsPort << "\"\n";
    if (!isControl)
        text << "health = \"" << vm.host << ':' << m_readyPort << "\"\nlanes = \"" << vm.host << ':'
             << m_internalPort << "\"\n";
    text << "\n[balancing]\npatient_objective = \"700ms\"\n\n[connections]\nmemory = \"260MiB\"\n"
         << "descriptors = 4200\n\n[log]\nto_standard_output = true\n";
    return text.str();
}

void Site::start(Vm &vm, bool isControl, bool isFirstStart)
{
    const std::string file = m_folder + '/' + vm.name + ".toml";
    std::ofstream(file) << settings(vm, isControl, isFirstStart);
    vm.process = std::make_unique<Process>(m_program,
                                           std::vector<std::string> {"serve", "--config", file},
                                           m_folder + '/' + vm.name + ".log");
}

void Site::restartControl(int number, bool losesDisk)
{
    Vm &vm = m_controls.at(static_cast<std::size_t>(number));
    vm.process.reset();
    if (losesDisk)
        std::filesystem::remove_all(m_folder + "/data-" + vm.name);
    start(vm, true, false);
}

void Site::restartEntry(int number)
{
    Vm &vm = m_entries.at(static_cast<std::size_t>(number));
    vm.process.reset();
    start(vm, false, false);
}

Address Site::controlPort(int number) const
{
    return {"127.0.0." + std::to_string(number + 1), m_controlPort};
}

Address Site::callers(int number) const
{
    return {m_entries.at(static_cast<std::size_t>(number)).host, m_frontPort};
}

Address Site::lanes(int number) const
{
    return {m_entries.at(static_cast<std::size_t>(number)).host, m_internalPort};
}

bool Site::isReady(int number) const
{
    const Address at {m_entries.at(static_cast<std::size_t>(number)).host, m_readyPort};
    return http(at, "GET", "/ready", "", std::chrono::milliseconds(500)).status == 200;
}

std::optional<int> Site::configure(const std::string &desiredState,
                                   std::chrono::milliseconds timeout) const
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until) {
        for (int number = 0; number < controls(); ++number) {
            if (http(controlPort(number), "PUT", "/config", desiredState).status == 200)
                return number;
        }
        std::this_thread::sleep_for(Interval);
    }
    return std::nullopt;
}

bool Site::waitUntilReady(std::chrono::milliseconds timeout) const
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    for (int number = 0; number < entries(); ++number) {
        while (!isReady(number)) {
            if (std::chrono::steady_clock::now() > until)
                return false;
            std::this_thread::sleep_for(Interval);
        }
    }
    return true;
}

} // namespace rig
