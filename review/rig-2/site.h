#pragma once

#include "processes.h"
#include "sockets.h"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace rig {

// Control VMs and entry VMs as processes on loopback addresses, with the settings that
// deploy/settings.toml.template makes of those of a small deployment. Each VM has an address of its
// own; all use the same ports.
class Site
{
public:
    struct Shape
    {
        int controls = 3;
        int entries = 3;
        std::optional<Address> promotions = {};
    };

    Site(std::string program, std::string folder, const Shape &shape);

    Process &control(int number)
    {
        return *m_controls.at(static_cast<std::size_t>(number)).process;
    }
    Process &entry(int number) { return *m_entries.at(static_cast<std::size_t>(number)).process; }
    // Starts a VM's process again. A control VM that has lost its disk starts with an empty one.
    void restartControl(int number, bool losesDisk = false);
    void restartEntry(int number);
    Address controlPort(int number) const;
    Address callers(int number) const;
    Address lanes(int number) const;
    bool isReady(int number) const;
    // Sends the desired state until it is acknowledged; returns the number of the control VM that
    // did so, or nothing if none did in time.
    std::optional<int> configure(const std::string &desiredState,
                                 std::chrono::milliseconds timeout) const;
    // Waits until all entry VMs are ready.
    bool waitUntilReady(std::chrono::milliseconds timeout) const;
    int controls() const { return static_cast<int>(m_controls.size()); }
    int entries() const { return static_cast<int>(m_entries.size()); }
    static char zoneOf(int number) { return static_cast<char>('a' + number % 3); }

private:
    struct Vm
    {
        std::string name;
        std::string host;
        char zone;
        std::unique_ptr<Process> process {};
    };

    std::string settings(const Vm &vm, bool isControl, bool isFirstStart) const;
    void start(Vm &vm, bool isControl, bool isFirstStart);

    const std::string m_program;
    const std::string m_folder;
    const Shape m_shape;
    const std::uint16_t m_controlPort = freePort();
    const std::uint16_t m_frontPort = freePort();
    const std::uint16_t m_readyPort = freePort();
    const std::uint16_t m_internalPort = freePort();
    const std::uint16_t m_operatorsPort = freePort();
    std::vector<Vm> m_controls;
    std::vector<Vm> m_entries;
};

} // namespace rig
