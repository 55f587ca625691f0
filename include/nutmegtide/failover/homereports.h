#pragma once

#include "nutmegtide/base/ids.h"

#include <map>
#include <set>

namespace nutmegtide {

// Remembers, at the control leader, which database groups each home proxy has reported. A home
// reports only groups that have changed, so each later call also confirms the groups of its
// earlier calls.
//
//   for (const DatabaseName &database : homeReports.take(home, incarnation, reported))
//       renewOpinion(database, home);
class HomeReports
{
public:
    // Records a call that reports the groups `named`. Returns the groups that the home reported
    // before and that this call leaves unchanged. A new incarnation of the home starts empty.
    std::set<DatabaseName> take(const VmName &home, Incarnation incarnation,
                                const std::set<DatabaseName> &named);
    // Returns how many groups the home has reported.
    std::size_t groupCount(const VmName &home) const;
    // Called when this VM stops leading control, since it no longer receives reports.
    void clear() { m_homes.clear(); }

private:
    struct Home
    {
        Incarnation incarnation = 0;
        std::set<DatabaseName> databases;
    };

    std::map<VmName, Home> m_homes;
};

} // namespace nutmegtide
