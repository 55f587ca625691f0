#pragma once

#include "nutmegtide/base/time.h"

#include <cstddef>
#include <optional>

namespace nutmegtide {

// Whether this VM still reaches other failure domains, judged by the VMs there that answer it.
//
// One VM's own requests are too few to tell a cut in time: with hundreds of VMs each one asks a
// given server about once a second. So the first answer that is overdue is a reason to question a
// few VMs of other failure domains, and their silence one to question all, and to warn the VMs of
// the own failure domain, which do the same at once. A cut leaves every question unanswered, at
// each VM of the domain at about the same moment; any single answer ends the doubt.
//
//   reach.noteOverdueAnswer(now); // an answer from elsewhere is overdue
//   const auto questions = reach.dueProbes(now);
//   if (questions != DomainReachability::Questions::None)
//       reach.noteProbesSent(questions, ask(questions), now);
//   reach.noteHeard(now); // something came from another failure domain
//   if (reach.isCutOff(now))
//       ...
class DomainReachability
{
public:
    enum class ProbeTargets { None, Few, All };

    // An answer from another failure domain is overdue.
    void noteOverdueAnswer(TimePoint now);
    // A VM of the own failure domain hears nothing from elsewhere.
    void noteWarning(TimePoint now);
    // Something came from another failure domain.
    void noteHeard(TimePoint now);
    // This process stood still, so that answers may wait unread.
    void restartTimeouts(TimePoint now);

    // Which VMs of other failure domains are to be asked now. With all of them the own failure
    // domain is to be warned.
    ProbeTargets dueProbes(TimePoint now) const;
    void noteProbesSent(ProbeTargets targets, std::size_t count, TimePoint now);

    // Whether all have left their questions without an answer for long enough.
    bool isCutOff(TimePoint now) const;
    // When dueProbes() or isCutOff() changes by itself, if it does.
    std::optional<TimePoint> wakeAt() const;

private:
    bool wasHeardRecently(TimePoint now) const;

    ProbeTargets m_dueProbes = ProbeTargets::None;
    std::optional<TimePoint> m_probedFewAt; // with no answer since
    std::optional<TimePoint> m_probedAllAt; // the same
    TimePoint m_heardAt {};
};

} // namespace nutmegtide
