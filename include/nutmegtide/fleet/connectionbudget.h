#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <string>

namespace nutmegtide {

// One run of a home proxy: its VM and the incarnation of its process.
using HomeRunId = Name<struct HomeRunIdTag>;
// Numbers the requests of one home; it grows, and only the home understands it.
using ShareStamp = std::uint64_t;

// A home asks a backend server for its share of the server's connections.
struct ShareRequest
{
    HomeRunId home;
    ShareStamp stamp = 0;
    int held = 0; // connections that the home may be holding at this moment
    int homes = 1; // among how many the home would divide the budget
    int most = 0; // connections that all homes together may hold, by the home's settings
    Duration validity {}; // of the share, from the request on

    bool operator==(const ShareRequest &) const = default;
};

struct ShareGrant
{
    ShareStamp stamp = 0; // of the request that is answered
    int connections = 0;

    bool operator==(const ShareGrant &) const = default;
};

// The connections of one backend server, divided among the home proxies. The
// server itself divides them, so homes that disagree about membership can't
// together hold more than it accepts: a share is freed only once its holder has
// reported less, or has let it expire.
//
//   ConnectionBudget budget(20);
//   const ShareGrant grant = budget.request(request, now);
class ConnectionBudget
{
public:
    explicit ConnectionBudget(int connections)
        : m_connections(connections)
    { }

    ShareGrant request(const ShareRequest &request, TimePoint now);
    // Connections that may be held at this time.
    int charged(TimePoint now) const;

private:
    struct Entry
    {
        ShareGrant grant;
        int charged = 0;
        TimePoint expiresAt;
    };

    int chargedToOthers(const HomeRunId &home, TimePoint now) const;

    const int m_connections;
    std::map<HomeRunId, Entry> m_entries;
};

// The share of a home in the connections of one run of a backend server. The
// home gives it up before the server does, on its own monotonic clock, counted
// from before the request was sent.
//
//   ConnectionShare share(home);
//   send(share.request(held, homes, most, validity, now));
//   share.take(grant, now);
//   pool.setMost(share.current(now));
class ConnectionShare
{
public:
    explicit ConnectionShare(HomeRunId home)
        : m_home(std::move(home))
    { }

    // Open connections beyond the share are reported, so that they stay counted.
    ShareRequest request(int open, int homes, int most, Duration validity, TimePoint now);
    // A grant for any request but the latest is ignored; returns whether it was taken.
    bool take(const ShareGrant &grant);
    int current(TimePoint now) const;

private:
    HomeRunId m_home;
    ShareStamp m_latest = 0;
    TimePoint m_latestVoidAt;
    int m_connections = 0;
    TimePoint m_voidAt;
};

} // namespace nutmegtide
