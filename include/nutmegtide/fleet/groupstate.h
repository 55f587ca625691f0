#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// What a home proxy knows of one backend server of a group.
struct GroupServer
{
    Announcement announcement; // the latest one, updated from the server's later answers
    TimePoint heardAt; // when the latest announcement or answer came
    bool isRefusing = false; // it refused the latest connection
    Term votersTerm = 0; // the term of announcement.voters, since answers carry no voters
};

// The state of one database group as a home proxy hears of it. Announcements and
// answers may arrive late and out of order, so a message of an older incarnation, or
// of a lower term than the server has reported before, is ignored.
//
//   GroupState group;
//   group.observe(announcement, now);
//   group.primary(); // empty while no server leads
class GroupState
{
public:
    // Take a message of a server. Each returns false if it ignored the message as outdated;
    // observePosition() does so too for a server that never announced itself.
    bool observe(const Announcement &announcement, TimePoint now);
    bool observePosition(const ServerId &server, const PositionReply &reply, TimePoint now);

    // Records a refused connection, until the server's next message.
    void observeRefusal(const ServerId &server);

    // Sets all servers as heard at this time, after a period in which this process didn't listen.
    void resume(TimePoint now);

    // Removes the servers that were silent for longer than this, and returns them.
    std::vector<ServerId> forgetSilent(Duration silence, TimePoint now);

    // Returns the term of primary(), or the highest reported term without a primary.
    Term term() const;
    // Returns the server that claims to be primary in the highest term, unless a
    // majority of its voters has been fenced by a higher term. A fence that reached
    // only a minority must not depose a primary that still works.
    std::optional<ServerId> primary() const;
    // Returns the voters that the primary of term() named, or none if there is no primary.
    std::vector<ServerId> voters() const;

    // Whether the server is unknown, refuses connections or was silent for longer than this.
    bool isSuspect(const ServerId &server, Duration silence, TimePoint now) const;

    const std::map<ServerId, GroupServer> &servers() const { return m_servers; }
    // Null for an unknown server.
    const GroupServer *find(const ServerId &server) const;

private:
    bool isLeading(const ServerId &id, const GroupServer &server) const;

    std::map<ServerId, GroupServer> m_servers;
};

} // namespace nutmegtide
