#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"

#include <map>

namespace nutmegtide {

// Divides the connections of one backend server among the home proxies.
//
// The server itself divides them, so homes that disagree about the membership
// can't together hold more connections than the server accepts: a share is freed
// only once its holder has reported fewer connections, or has let the share
// expire. A connection that the server still sees open stays charged to its
// holder even after that, for example when the holder's process is stalled.
//
//   ConnectionBudget budget(20);
//   const ShareGrant grant = budget.request(request, now);
class ConnectionBudget
{
public:
    explicit ConnectionBudget(int connections)
        : m_connections(connections)
    { }

    // Grants a share. A repeated or outdated request gets the latest grant of its home again.
    ShareGrant request(const ShareRequest &request, TimePoint now);
    // Records that the server accepted a connection from this home, or that one was closed.
    void noteOpened(const HomeRunId &home) { ++m_open[home]; }
    void noteClosed(const HomeRunId &home);
    // Connections that homes may hold at this time, by a valid share or still open.
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

// Tracks one home's share of the connections of one run of a backend server. The
// home's share ends before the server's record of it: the home counts the validity
// on its own monotonic clock from before the request was sent.
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

    // Builds the next request. `open` counts the open connections; those beyond the share are
    // reported too, so that they stay charged. `most` is the limit for all homes together.
    ShareRequest request(int open, int homes, int most, Duration validity, TimePoint now);
    // Whether to send a request now: none was sent yet, the share is to be renewed, or fewer
    // connections are held than the latest request reported.
    bool isRequestDue(int open, Duration validity, TimePoint now) const;
    // Takes a grant. Returns false and ignores it if it doesn't answer the latest request.
    bool take(const ShareGrant &grant);
    // Sets the share that the home calculated itself because the server doesn't divide its
    // connections.
    void setLocally(int connections, Duration validity, TimePoint now);
    // The number of connections that the home may hold at this time.
    int current(TimePoint now) const;
    // When current() falls to 0 unless another grant is taken.
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
