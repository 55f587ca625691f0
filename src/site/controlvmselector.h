#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// A control VM as other processes know it.
struct ControlLocation
{
    Endpoint peers; // its listener for other processes
    FailureDomain failureDomain;

    bool operator==(const ControlLocation &) const = default;
};

// What a control VM's word on the newest configuration and the servers is worth.
enum class ControlConnectivity {
    Disconnected,
    Follower, // follows a member of the control log
    Member, // hears the leader of the control log
};

// Why a control VM's answer was of no use.
enum class ControlFailure {
    Silent, // it can't be reached, or doesn't answer
    NotReady, // it answers, but has no leader yet since all have just started
};

// Chooses the control VM to ask: one of the own failure domain first, where bytes are cheap and
// a cut is unlikely; another one after a failure, in turn. A VM that failed is tried again after
// a while, and sooner where it only wasn't ready.
class ControlVmSelector
{
public:
    // `self` is left out, where this process is a control VM.
    ControlVmSelector(FailureDomain own, std::vector<Endpoint> seeds,
                  std::optional<Endpoint> self = std::nullopt);

    // Nothing where no control VM is known.
    std::optional<Endpoint> next(TimePoint now);
    void succeeded(const Endpoint &control);
    void failed(const Endpoint &control, ControlFailure failure, TimePoint now);
    // Whether the control VM is known to stand in the own failure domain.
    bool isOwnDomain(const Endpoint &control) const;
    // Whether the word of a control VM with this standing is taken. Among control VMs only a
    // member's is, since two followers of each other would prove nothing.
    bool isTrusted(ControlConnectivity standing) const;
    // The control VMs that are known now; seeds stay known.
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
