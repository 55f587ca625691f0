#pragma once

#include "process/support/childprocess.h"
#include "process/support/lineserver.h"
#include "process/support/sockets.h"
#include "unit/settings/temporaryfolder.h"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace nutmegtide::test {

// One database "casks" on the service "db"; a session reads its own writes.
extern const char *const SiteRoutes;

// Control VMs and entry VMs as processes on loopback. VMs are numbered from 0. Control VMs have
// addresses of their own, since they find each other by one port on the seeds' addresses.
//
//   LineServer server("db", "i-1");
//   LineSite site;
//   site.configure(SiteRoutes);
//   site.announce(server);
//   waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
//   LineClient caller(site.callers());
class LineSite
{
public:
    struct Shape
    {
        int controls = 1;
        int entries = 1;
        int toleratedLosses = 0; // of control VMs
        std::optional<Endpoint> promotions; // where changes of primary are ordered
        std::string entrySettings {}; // further tables of the entry VMs' settings
    };

    LineSite()
        : LineSite(Shape {})
    { }
    explicit LineSite(const Shape &shape);

    const Endpoint &controlPort(int number = 0) const;
    const Endpoint &callers(int number = 0) const;
    // The entry VM's listener for operators.
    const Endpoint &operators(int number = 0) const;
    // The entry VM's listener for health checks.
    const Endpoint &health(int number = 0) const;
    // The entry VM's listener for lanes.
    const Endpoint &lanes(int number = 0) const;
    // The control VM's listener for other processes.
    const Endpoint &controlPeers(int number = 0) const;
    bool isReady(int number = 0) const;
    // Returns once a control VM, the one that leads, has accepted the configuration.
    void configure(const std::string &configuration) const;
    // Announces the primary of the service "db"; returns once control has taken it.
    void announce(const LineServer &server) const;

    ChildProcess &control(int number = 0);
    ChildProcess &entry(int number = 0);
    // Starts a process again that has ended.
    void restartControl(int number);
    void restartEntry(int number);
    // Whether a control VM has logged this event.
    bool hasLogged(int control, const std::string &event) const;
    // What the processes logged, for a failure's report.
    std::string logs() const;

private:
    struct Vm
    {
        // Port 0 stands for any free one.
        Vm(std::string settingsFile, const std::string &address, std::uint16_t callersPort,
           std::uint16_t peersPort)
            : file(std::move(settingsFile))
            , callers(address, callersPort)
            , peers(address, peersPort)
        { }

        std::string file; // of its settings
        ReservedPort callers; // of a control VM: of servers and operators
        ReservedPort peers; // an entry VM listens at none
        ReservedPort lanes; // of an entry VM
        ReservedPort operators;
        ReservedPort health;
        std::unique_ptr<ChildProcess> process;
    };

    static const Vm &at(const std::list<Vm> &vms, int number);
    static Vm &at(std::list<Vm> &vms, int number);
    std::string settings(const std::string &role, int number, const Vm &vm) const;
    std::string controlSettings(int number, const Vm &vm, bool isFirstStart) const;
    void start(Vm &vm);
    std::string logOf(const Vm &vm) const;

    const Shape m_shape;
    TemporaryFolder m_folder;
    std::list<Vm> m_controls;
    std::list<Vm> m_entries;
};

} // namespace nutmegtide::test
