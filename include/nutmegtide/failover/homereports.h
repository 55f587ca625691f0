#pragma once

#include "nutmegtide/base/ids.h"

#include <map>
#include <set>

namespace nutmegtide {

// The groups that each home has reported to this control leader. A home names only
// what has changed, so its later calls also speak for the groups of its earlier ones.
//
//   for (const DatabaseName &database : homeReports.take(home, incarnation, reported))
//       renewOpinion(database, home);
class HomeReports
{
public:
    // Takes a call and returns the groups that it doesn't name and thus leaves as they were.
    std::set<DatabaseName> take(const VmName &home, Incarnation incarnation,
                                const std::set<DatabaseName> &named);
    std::size_t groupCount(const VmName &home) const;
    // This VM leads no more, so it doesn't hear what changes.
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
