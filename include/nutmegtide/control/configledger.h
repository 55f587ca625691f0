#pragma once

#include "nutmegtide/control/replicatedlog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// An operator's wish to replace the fleet's settings as a whole.
struct ConfigSubmission
{
    ChangeId changeId; // names the wish; a resend carries the same one
    Revision baseRevision = 0; // the revision that the operator started from
    std::string toml; // the merged settings
    std::string operatorName;

    bool operator==(const ConfigSubmission &) const = default;
};

// What became of a submission.
enum class ConfigOutcome {
    Accepted,
    Conflict, // another change was accepted on the same base
    Invalid, // faulty settings or change id; never proposed
    ChangeIdReused, // the change id came before with other settings
    Unknown, // not decided in time, or the decision isn't known here
    NotLeader, // this process can't decide
};

struct ConfigDecision
{
    ConfigOutcome outcome = ConfigOutcome::Unknown;
    Revision revision = 0; // Accepted: the change's own; else the latest accepted one
    ChangeId winner; // Conflict: the change that was accepted instead
    std::string message; // for operators, empty where the outcome says all

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

// Returns the fault of a submission's form, or every fault of its settings; empty where
// it may be proposed.
std::string validationError(const ConfigSubmission &submission);

// Reads what encode() wrote. Throws MessageError.
std::string encode(const ConfigSubmission &submission);
ConfigSubmission decodeSubmission(const std::string &payload);

// Which submissions a ledger accepts.
class AcceptanceRule
{
public:
    virtual ~AcceptanceRule() = default;

    // Returns the revision that the submission becomes, nothing where it isn't accepted.
    virtual std::optional<Revision> revisionOf(const ConfigSubmission &submission,
                                               const ConfigRevision &latest) const = 0;
};

// Compare and swap: a submission wins if its base is the latest revision.
const AcceptanceRule &compareAndSwapRule();
// The operators number the configurations: a submission wins if its base, which is its own
// number here, is above the latest revision.
const AcceptanceRule &highestNumberRule();

// Decides submissions in the order of the control log. Every control VM comes to the same
// decisions, since apply() uses nothing but the state and the entry. Settings aren't parsed
// here: control VMs of two versions might read them differently.
//
// The rule says which submission wins. Decisions are remembered, so that a resent change id gets
// its first answer from any leader.
//
//   ConfigLedger ledger;
//   ledger.apply(index, encode({changeId, 4, toml, "ana"}));
//   ledger.find(submission)->outcome; // ConfigOutcome::Accepted
class ConfigLedger : public StateMachine
{
public:
    // 5 days at 3,600 changes a day. Ids have at most 64 bytes, so this takes under 8 MB.
    static constexpr std::size_t DefaultMaxDecisions = 20'000;

    // The rule must outlive the ledger.
    explicit ConfigLedger(std::size_t maxDecisions = DefaultMaxDecisions,
                          const AcceptanceRule &rule = compareAndSwapRule())
        : m_rule(&rule)
        , m_maxDecisions(maxDecisions)
    { }

    // An entry that is no submission changes nothing.
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    // Throws MessageError, and then keeps the state as it was.
    void restore(const std::string &snapshot) override;

    // The decision on the submission's change id, or nothing if none is remembered.
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
    std::deque<ChangeId> m_decisionOrder; // of m_decisions, oldest first
    std::map<Revision, ChangeId> m_acceptedIds; // those of m_decisions
};

} // namespace nutmegtide
