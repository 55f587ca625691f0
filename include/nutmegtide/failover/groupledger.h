#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/control/replicatedlog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// The agreed state of one database group in the control log.
struct GroupRecord
{
    Term term = 0; // in which the published primary leads
    ServerId primary;
    std::vector<ServerId> voters;
    std::vector<ServerId> pendingVoters; // of an uncommitted change of voters; empty if none
    Term attempt = 0; // the highest reserved term
    std::string attemptOwner; // the change that reserved it

    // Returns whether a change has reserved a term that isn't published yet.
    bool isChangePending() const { return attempt > term; }
    bool operator==(const GroupRecord &) const = default;
};

enum class GroupCommandKind {
    Adopt, // on first contact: record what the group's primary announces
    Reserve, // a change reserves a term and names the voters to promote with
    Publish, // a majority of the term's voters holds its barrier durably
};

// An entry of the control log with CommandKind::Group.
struct GroupCommand
{
    GroupCommandKind kind = GroupCommandKind::Adopt;
    DatabaseName database;
    Term term = 0;
    std::string owner; // the change, unique in the fleet; empty for Adopt
    ServerId primary; // empty for Reserve
    std::vector<ServerId> voters; // for Reserve, the voters to promote with

    bool operator==(const GroupCommand &) const = default;
};

// Returns the payload of the log entry.
std::string encode(const GroupCommand &command);
// Throws MessageError.
GroupCommand decodeGroupCommand(const std::string &payload);

// The state machine that applies the control log's entries on database groups. It assigns each
// term to a single change: a reservation succeeds only if its term is above all earlier ones, and
// a publication only if its change holds the latest reservation. Any other command has no effect.
//
//   log.propose({CommandKind::Group, encode(reserve)}, timeout);
//   const bool isOurs = ledger.find(database)->attemptOwner == reserve.owner;
class GroupLedger : public StateMachine
{
public:
    // Throws MessageError for a payload that is no group command.
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    // Throws MessageError for a malformed snapshot and then keeps the present state.
    void restore(const std::string &snapshot) override;

    // Returns the group's record, or nullptr for an unknown group.
    const GroupRecord *find(const DatabaseName &database) const;
    const std::map<DatabaseName, GroupRecord> &records() const { return m_records; }

private:
    static void reserve(GroupRecord &record, const GroupCommand &command);
    static void publish(GroupRecord &record, const GroupCommand &command);

    std::map<DatabaseName, GroupRecord> m_records;
};

} // namespace nutmegtide
