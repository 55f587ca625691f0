#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/control/replicatedlog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// What control has agreed on about one database group.
struct GroupRecord
{
    Term term = 0; // of the published primary
    ServerId primary;
    std::vector<ServerId> voters;
    std::vector<ServerId> pendingVoters; // of a change of voters that isn't final; empty for none
    Term attempt = 0; // the highest term that a change has reserved
    std::string attemptOwner; // the change that reserved it

    bool isChangePending() const { return attempt > term; }
    bool operator==(const GroupRecord &) const = default;
};

enum class GroupCommandKind {
    Adopt, // first contact: take over what the group's primary announces
    Reserve, // a change takes a term for itself, and names the voters it will promote with
    Publish, // the barrier of the reserved term is durable on a majority of its voters
};

// An entry of the control log with CommandKind::Group.
struct GroupCommand
{
    GroupCommandKind kind = GroupCommandKind::Adopt;
    DatabaseName database;
    Term term = 0;
    std::string owner; // the change, unique in the fleet; empty for an adoption
    ServerId primary; // empty for a reservation
    std::vector<ServerId> voters; // for a reservation those to promote with

    bool operator==(const GroupCommand &) const = default;
};

std::string encode(const GroupCommand &command);
// Throws MessageError.
GroupCommand decodeGroupCommand(const std::string &payload);

// The state machine of the groups in the control log. It makes every term belong
// to one change only: a reservation is taken when its term is above all earlier
// ones, and a publication only from the change that holds the latest reservation.
//
//   log.propose({CommandKind::Group, encode(reserve)}, timeout);
//   const bool isOurs = ledger.find(database)->attemptOwner == reserve.owner;
class GroupLedger : public StateMachine
{
public:
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    void restore(const std::string &snapshot) override;

    const GroupRecord *find(const DatabaseName &database) const;
    const std::map<DatabaseName, GroupRecord> &records() const { return m_records; }

private:
    static void reserve(GroupRecord &record, const GroupCommand &command);
    static void publish(GroupRecord &record, const GroupCommand &command);

    std::map<DatabaseName, GroupRecord> m_records;
};

} // namespace nutmegtide
