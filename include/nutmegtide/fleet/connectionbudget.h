#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"

#include <map>

namespace nutmegtide {

// The connections of one backend server, divided among the home proxies. The
// server itself divides them, so homes that disagree about membership can't
// together hold more than it accepts: a share is freed only once its holder has
// reported less, or has let it expire. A connection that the server still sees
// open stays charged to its holder for longer, such as that of a process that
// stands still.
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
    // Notes a connection that the server accepted from this home, and its end.
    void noteOpened(const HomeRunId &home) { ++m_open[home]; }
    void noteClosed(const HomeRunId &home);
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
    std::map<HomeRunId, int> m_open; // connections by holder, none of them 0
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
    // Whether it is time to ask again, or worth it, since fewer are held than was reported.
    bool isRequestDue(int open, Duration validity, TimePoint now) const;
    // A grant for any request but the latest is ignored; returns whether it was taken.
    bool take(const ShareGrant &grant);
    // Takes the part that the home works out itself where the server divides nothing.
    void setLocally(int connections, Duration validity, TimePoint now);
    int current(TimePoint now) const;
    // When current() falls to 0 unless a further grant is taken.
    TimePoint voidAt() const { return m_voidAt; }

private:
    HomeRunId m_home;
    ShareStamp m_latest = 0;
    int m_latestHeld = 0;
    TimePoint m_askedAt;
    TimePoint m_latestVoidAt;
    int m_connections = 0;
    TimePoint m_voidAt;
};

} // namespace nutmegtide
