#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// The location of a control VM.
struct ControlLocation
{
    Endpoint peers; // its listener for peer processes
    FailureDomain failureDomain;

    bool operator==(const ControlLocation &) const = default;
};

// How well a control VM is connected to the control log, which decides whether its view of the
// configuration and the servers is current.
enum class ControlConnectivity {
    Disconnected, // hears neither the leader nor a member
    Follower, // follows a member of the control log
    Member, // hears the leader of the control log
};

// Why a request to a control VM failed.
enum class ControlFailure {
    Silent, // it can't be reached, or doesn't answer
    NotReady, // it answers, but knows no leader yet, as after a restart of all control VMs
};

// Selects the control VM to ask: first one of the own failure domain, where traffic is cheap and a
// network cut is unlikely, and the others in turn after failures. A VM that failed is tried again
// after a pause, which is shorter after NotReady.
//
//   const auto control = selector.next(now);
//   if (control && ask(*control))
//       selector.succeeded(*control);
//   else if (control)
//       selector.failed(*control, ControlFailure::Silent, now);
class ControlVmSelector
{
public:
    // `self` is this process where it is a control VM; it is never selected.
    ControlVmSelector(FailureDomain own, std::vector<Endpoint> seeds,
                      std::optional<Endpoint> self = std::nullopt);

    // Returns nothing where no control VM is known.
    std::optional<Endpoint> next(TimePoint now);
    void succeeded(const Endpoint &control);
    void failed(const Endpoint &control, ControlFailure failure, TimePoint now);
    // Whether the control VM is known to be in the own failure domain.
    bool isOwnDomain(const Endpoint &control) const;
    // Whether answers of a control VM with this connectivity are accepted. A control VM accepts
    // only those of members, since two followers of each other could both be outdated.
    bool isTrusted(ControlConnectivity standing) const;
    // Replaces the learned control VMs; seeds stay known.
    void learn(const std::vector<ControlLocation> &controls);
    void setSeeds(const std::vector<Endpoint> &seeds) { m_seeds = seeds; }
    std::vector<ControlLocation> known() const;

private:
    struct Standing
    {
        TimePoint failedAt {};
        TimePoint badUntil {};
    };

    const FailureDomain m_own;
    const std::optional<Endpoint> m_self;
    std::vector<Endpoint> m_seeds;
    std::vector<ControlLocation> m_controls;
    std::map<Endpoint, Standing> m_standings;
    std::optional<Endpoint> m_current;
};

} // namespace nutmegtide
