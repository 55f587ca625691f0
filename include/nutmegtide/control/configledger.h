#pragma once

#include "nutmegtide/control/replicatedlog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// An operator's request to replace the settings of the whole fleet.
struct ConfigSubmission
{
    ChangeId changeId; // identifies the request; a resend carries the same id
    Revision baseRevision = 0; // the revision that the operator edited
    std::string toml; // the complete new settings
    std::string operatorName;

    bool operator==(const ConfigSubmission &) const = default;
};

// The result of a submission.
enum class ConfigOutcome {
    Accepted,
    Conflict, // another change was accepted on the same base
    Invalid, // malformed settings or change id; never proposed
    ChangeIdReused, // the change id was used before with other settings
    Unknown, // not decided in time, or this process doesn't know the decision
    NotLeader, // this process doesn't lead the control log
};

// The decision on a submission.
struct ConfigDecision
{
    ConfigOutcome outcome = ConfigOutcome::Unknown;
    Revision revision = 0; // Accepted: the revision of this change; else the latest accepted one
    ChangeId winner; // Conflict: the change that was accepted instead
    std::string message; // for operators; empty where the outcome needs no explanation

    bool operator==(const ConfigDecision &) const = default;
};

// An accepted configuration.
struct ConfigRevision
{
    Revision revision = 0; // 0 for none
    std::string toml;
    ChangeId changeId;

    bool operator==(const ConfigRevision &) const = default;
};

// Returns why a submission can't be proposed: a malformed id, name or size, or every error in its
// settings. Empty if it may be proposed.
std::string validationError(const ConfigSubmission &submission);

// Serializes a submission as the payload of a log entry.
std::string encode(const ConfigSubmission &submission);
// Reads what encode() wrote. Throws MessageError if the payload is malformed.
ConfigSubmission decodeSubmission(const std::string &payload);

// Decides which submissions a ledger accepts.
class AcceptanceRule
{
public:
    virtual ~AcceptanceRule() = default;

    // Returns the revision that the submission gets, or nothing if it isn't accepted.
    virtual std::optional<Revision> revisionOf(const ConfigSubmission &submission,
                                               const ConfigRevision &latest) const = 0;
};

// Compare and swap: a submission is accepted if its base is the latest revision.
const AcceptanceRule &compareAndSwapRule();
// The operators number the configurations: `baseRevision` holds the submission's own number, and
// it is accepted if that number is above the latest revision.
const AcceptanceRule &highestNumberRule();

// Decides submissions in the order of the control log. Every control VM reaches the same
// decisions, since apply() depends only on the state and the entry. Settings aren't parsed
// here: control VMs of different versions might read them differently.
//
// The rule says which submission is accepted. Decisions are kept, so that a resent change id gets
// its original answer from any leader.
//
//   ConfigLedger ledger;
//   ledger.apply(index, encode({changeId, 4, toml, "ana"}));
//   ledger.find(submission)->outcome; // ConfigOutcome::Accepted
class ConfigLedger : public StateMachine
{
public:
    // 5 days at 3,600 changes a day. Ids have at most 64 bytes, so this takes under 8 MB.
    static constexpr std::size_t DefaultMaxDecisions = 20'000;

    // Keeps the latest `maxDecisions` decisions. The rule must outlive the ledger.
    explicit ConfigLedger(std::size_t maxDecisions = DefaultMaxDecisions,
                          const AcceptanceRule &rule = compareAndSwapRule())
        : m_rule(&rule)
        , m_maxDecisions(maxDecisions)
    { }

    // Decides the submission in `payload`. A payload that isn't a submission is ignored.
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    // Throws MessageError if the snapshot is malformed; the state then stays unchanged.
    void restore(const std::string &snapshot) override;

    // Returns the decision on the submission's change id, or nothing if none is kept.
    std::optional<ConfigDecision> find(const ConfigSubmission &submission) const;
    const ConfigRevision &latest() const { return m_latest; }
    std::size_t decisionCount() const { return m_decisions.size(); }

private:
    struct Record
    {
        std::uint64_t contentHash = 0;
        ConfigOutcome outcome = ConfigOutcome::Unknown;
        Revision revision = 0;
        ChangeId winner;
    };

    Record decide(const ConfigSubmission &submission);
    ChangeId winningChange(Revision base) const;
    void recordDecision(const ChangeId &changeId, const Record &record);

    const AcceptanceRule *m_rule;
    std::size_t m_maxDecisions;
    ConfigRevision m_latest;
    std::map<ChangeId, Record> m_decisions;
    std::deque<ChangeId> m_decisionOrder; // the keys of m_decisions, oldest first
    std::map<Revision, ChangeId> m_acceptedIds; // the accepted changes among m_decisions
};

} // namespace nutmegtide
