#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// What is known of one backend server of a group.
struct GroupServer
{
    Announcement announcement; // kept up to date with the server's later answers
    TimePoint heardAt; // of the latest announcement or answer
    bool isRefusing = false; // it refused the latest connection
    Term votersTerm = 0; // the term that said.voters belongs to; answers carry no voters
};

// One database group as its home proxies hear of it. Announcements and answers
// come late and crossed, so a message of an older incarnation, or of a lower
// term than the server has reported before, is ignored.
//
//   GroupState group;
//   group.observe(announcement, now);
//   group.primary(); // nothing while no server leads
class GroupState
{
public:
    // Each returns false where the message was ignored as outdated.
    bool observe(const Announcement &announcement, TimePoint now);
    bool observePosition(const ServerId &server, const PositionReply &reply, TimePoint now);

    // Notes a refused connection. The next message of the server takes it back.
    void observeRefusal(const ServerId &server);

    // Takes all servers as heard at this time, after a while without listening.
    void resume(TimePoint now);

    // Forgets servers that were silent for longer than this.
    std::vector<ServerId> forgetSilent(Duration silence, TimePoint now);

    // Returns the term of primary(), or without one the highest reported.
    Term term() const;
    // Returns the server that claims to be primary in the highest term, unless a
    // majority of its voters has been fenced by a higher one. A fence that reached
    // only a minority must not break a primary that still works.
    std::optional<ServerId> primary() const;
    // Returns the voters that the primary of term() named, empty without one.
    std::vector<ServerId> voters() const;

    bool isSuspect(const ServerId &server, Duration silence, TimePoint now) const;

    const std::map<ServerId, GroupServer> &servers() const { return m_servers; }
    const GroupServer *find(const ServerId &server) const;

private:
    bool isLeading(const ServerId &id, const GroupServer &server) const;

    std::map<ServerId, GroupServer> m_servers;
};

} // namespace nutmegtide
