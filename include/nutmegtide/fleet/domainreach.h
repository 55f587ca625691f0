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
//   reach.doubt(now); // an answer from elsewhere is overdue
//   const auto questions = reach.due(now);
//   if (questions != DomainReach::Questions::None)
//       reach.questioned(questions, ask(questions), now);
//   reach.heard(now); // something came from another failure domain
//   if (reach.isCutOff(now))
//       ...
class DomainReach
{
public:
    enum class Questions { None, Few, All };

    // An answer from another failure domain is overdue.
    void doubt(TimePoint now);
    // A VM of the own failure domain hears nothing from elsewhere.
    void warn(TimePoint now);
    // Something came from another failure domain.
    void heard(TimePoint now);
    // This process stood still, so that answers may wait unread.
    void forgive(TimePoint now);

    // Which VMs of other failure domains are to be asked now. With all of them the own failure
    // domain is to be warned.
    Questions due(TimePoint now) const;
    void questioned(Questions questions, std::size_t count, TimePoint now);

    // Whether all have left their questions without an answer for long enough.
    bool isCutOff(TimePoint now) const;
    // When due() or isCutOff() changes by itself, if it does.
    std::optional<TimePoint> wakeAt() const;

private:
    bool wasHeardLately(TimePoint now) const;

    Questions m_due = Questions::None;
    std::optional<TimePoint> m_askedFewAt; // with no answer since
    std::optional<TimePoint> m_askedAllAt; // the same
    TimePoint m_heardAt {};
};

} // namespace nutmegtide
