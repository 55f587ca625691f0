#pragma once

#include "nutmegtide/failover/semisyncchange.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

// A departed server whose log isn't needed any more, and what shows it.
struct CoveredDeparture
{
    ServerId server;
    ServerId primary; // told its position after the departure
    ServerId replica; // has received that position in the primary's term
    LogPosition position;
    Duration took {}; // since the departure was noted
};

// Finds out when the log of a departed server isn't needed any more, for one service.
//
// A departed server may have been the only replica that received the primary's last commits. It is
// covered once another replica has received the position that the primary of the highest known term
// told after the departure. Until then, a change of primary counts it as a server that can't be
// fenced. Only answers to commands that were sent after the departure count, with a margin in which
// the departing server may still run.
//
//   tracker.setServers(present, departed, now);
//   for (const QueryStatus &query : tracker.tick(now))
//       ask(query);
//   for (const CoveredDeparture &covered : tracker.onStatus(server, status, askedAt, now))
//       removeFromRoster(covered.server);
class DepartureTracker
{
public:
    // Sets the recorded servers of the service: those present, and those that have departed.
    void setServers(std::set<ServerId> present, const std::set<ServerId> &departed, TimePoint now);
    // Returns the servers to ask now; none while all departures are covered.
    std::vector<QueryStatus> tick(TimePoint now);
    // A server's answer to a command sent at `askedAt`. Returns the departures that it covers.
    std::vector<CoveredDeparture> onStatus(const ServerId &server,
                                           const ServerReplicationStatus &status, TimePoint askedAt,
                                           TimePoint now);
    // Returns the covered servers among those that setServers() named as departed.
    const std::set<ServerId> &covered() const { return m_covered; }
    // Returns the departed servers that aren't covered, with the times when they were noted.
    const std::map<ServerId, TimePoint> &uncovered() const { return m_uncovered; }

private:
    // The position that the primary of m_term told.
    struct PrimaryPosition
    {
        ServerId primary;
        LogPosition position;
        TimePoint askedAt;
    };

    // Returns whether the primary told its position after all departures that aren't covered.
    bool isPrimaryAskedLate() const;

    std::set<ServerId> m_present;
    std::map<ServerId, TimePoint> m_uncovered; // with the times when they were noted
    std::set<ServerId> m_covered;
    Term m_term = 0; // the highest one seen
    std::optional<PrimaryPosition> m_primary;
    TimePoint m_askAt {};
    bool m_isFirstQuery = true; // since the latest departure
};

} // namespace nutmegtide
