#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace nutmegtide {

// What an entry of the control log is for; each kind has one state machine.
enum class CommandKind {
    Config = 1, // an accepted or refused submission of settings
    Group = 2, // term, primary and voters of a database group
    Power = 3, // an order to switch a VM on or off
};

// An entry of the control log, with its state machine's own encoding inside.
struct Command
{
    CommandKind kind = CommandKind::Config;
    std::string payload;

    bool operator==(const Command &) const = default;
};

// A proposal that this process can't take, since it doesn't lead control.
class NotLeaderError : public Error
{
public:
    NotLeaderError(const std::string &message, VmName leader)
        : Error(message)
        , m_leader(std::move(leader))
    { }

    // Empty where no leader is known.
    const VmName &leader() const { return m_leader; }

private:
    VmName m_leader;
};

// A proposal of which it isn't known in time whether it will be committed.
class ProposalUnknownError : public Error
{
public:
    using Error::Error;
};

// A state that is built from committed entries of one kind, the same on every
// control VM. apply() is called once for each entry, in the order of the log.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    virtual void apply(std::uint64_t index, const std::string &payload) = 0;
    // The whole state as text, and back; used for the log's snapshots.
    virtual std::string snapshot() const = 0;
    virtual void restore(const std::string &snapshot) = 0;
};

// The control log as its users see it: roles propose commands and are told of
// committed ones through their state machines.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    virtual bool isLeader() const = 0;
    // Empty where none is known.
    virtual VmName leader() const = 0;
    // Returns the index at which the command was committed and applied here.
    // Throws NotLeaderError or ProposalUnknownError.
    virtual std::uint64_t propose(const Command &command, std::chrono::milliseconds timeout) = 0;
};

} // namespace nutmegtide
