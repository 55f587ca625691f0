#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace nutmegtide {

// The purpose of an entry in the control log; each kind has one state machine.
enum class CommandKind {
    Config = 1, // an accepted or refused submission of settings
    Group = 2, // term, primary and voters of a database group
    Power = 3, // an order to switch a VM on or off
};

// A command in the control log; the payload is encoded by its state machine.
struct Command
{
    CommandKind kind = CommandKind::Config;
    std::string payload;

    bool operator==(const Command &) const = default;
};

// Base class of the reasons why a proposal isn't known to be committed.
class ProposalError : public Error
{
public:
    using Error::Error;
};

// A proposal was refused because this process doesn't lead the control log.
class NotLeaderError : public ProposalError
{
public:
    NotLeaderError(const std::string &message, VmName leader)
        : ProposalError(message)
        , m_leader(std::move(leader))
    { }

    // The leader's name; empty if no leader is known.
    const VmName &leader() const { return m_leader; }

private:
    VmName m_leader;
};

// A proposal's outcome wasn't known in time; it may still be committed.
class ProposalUnknownError : public ProposalError
{
public:
    using ProposalError::ProposalError;
};

// A proposal was refused before it became an entry, so it is never committed.
class ProposalRefusedError : public ProposalError
{
public:
    using ProposalError::ProposalError;
};

// A state built from the committed entries of one kind, and equal on every control VM. apply() is
// called once for each entry, in the order of the log.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    virtual void apply(std::uint64_t index, const std::string &payload) = 0;
    // Serializes the whole state, and restores it; used for the log's snapshots.
    virtual std::string snapshot() const = 0;
    virtual void restore(const std::string &snapshot) = 0;
};

// The control log as its users see it: they propose commands, and their state machines apply the
// committed ones.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    virtual bool isLeader() const = 0;
    // The leader's name; empty if none is known.
    virtual VmName leader() const = 0;
    // Returns the index at which the command was committed and applied here. Throws NotLeaderError,
    // ProposalRefusedError while too much waits for a majority, or ProposalUnknownError if the
    // outcome isn't known within `timeout`.
    virtual std::uint64_t propose(const Command &command, std::chrono::milliseconds timeout) = 0;
};

} // namespace nutmegtide
