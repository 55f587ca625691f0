#include "nutmegtide/failover/homereports.h"

#include <algorithm>
#include <iterator>

namespace nutmegtide {

std::set<DatabaseName> HomeReports::take(const VmName &home, Incarnation incarnation,
                                         const std::set<DatabaseName> &named)
{
    Home &known = m_homes[home];
    if (known.incarnation != incarnation)
        known = {incarnation, {}};
    std::set<DatabaseName> unchanged;
    std::set_difference(known.databases.begin(), known.databases.end(), named.begin(), named.end(),
                        std::inserter(unchanged, unchanged.end()));
    known.databases.insert(named.begin(), named.end());
    return unchanged;
}

std::size_t HomeReports::groupCount(const VmName &home) const
{
    const auto found = m_homes.find(home);
    return found == m_homes.end() ? 0 : found->second.databases.size();
}

} // namespace nutmegtide
