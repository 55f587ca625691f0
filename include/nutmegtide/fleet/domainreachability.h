#pragma once

#include "nutmegtide/base/time.h"

#include <cstddef>
#include <optional>

namespace nutmegtide {

// Decides whether this VM still reaches other failure domains, by whether the VMs there answer.
//
// One VM's own requests are too few to detect a network cut in time: with hundreds of VMs each one
// asks a given server about once a second. The first overdue answer therefore triggers probes of a
// few VMs in other failure domains. If these don't answer, all VMs there are probed and the VMs of
// the own failure domain are warned, which then probe at once as well. A cut leaves every probe
// unanswered, at each VM of the domain at about the same time, while any single answer rules it
// out.
//
//   reach.noteOverdueAnswer(now); // an answer from another failure domain is overdue
//   const auto targets = reach.dueProbes(now);
//   if (targets != DomainReachability::ProbeTargets::None)
//       reach.noteProbesSent(targets, sendProbes(targets), now);
//   reach.noteAlive(now); // a message came from another failure domain
//   if (reach.isCutOff(now))
//       ...
class DomainReachability
{
public:
    // How many VMs of other failure domains to probe.
    enum class ProbeTargets { None, Few, All };

    // An answer from another failure domain is overdue.
    void noteOverdueAnswer(TimePoint now);
    // A VM of the own failure domain reports that it hears nothing from other domains.
    void noteWarning(TimePoint now);
    // A message came from another failure domain: ends the suspicion.
    void noteAlive(TimePoint now);
    // Restarts the timeouts of probes under way, after this process was stalled and answers may
    // wait unread.
    void restartTimeouts(TimePoint now);

    // Which VMs of other failure domains to probe now. With `All` the caller also warns the VMs of
    // its own failure domain.
    ProbeTargets dueProbes(TimePoint now) const;
    // Records that `count` VMs were probed.
    void noteProbesSent(ProbeTargets targets, std::size_t count, TimePoint now);

    // Whether all VMs were probed and none has answered within the timeout.
    bool isCutOff(TimePoint now) const;
    // When dueProbes() or isCutOff() next changes without a further call; nothing if it doesn't.
    std::optional<TimePoint> wakeAt() const;

private:
    bool wasHeardRecently(TimePoint now) const;

    ProbeTargets m_dueProbes = ProbeTargets::None;
    std::optional<TimePoint> m_probedFewAt; // set while no answer came since
    std::optional<TimePoint> m_probedAllAt; // likewise
    TimePoint m_heardAt {};
};

} // namespace nutmegtide
