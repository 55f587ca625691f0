#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/statement/voters.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// Names one write that waits for its majority.
using WriteTicket = std::uint64_t;

enum class WriteActionKind {
    Acknowledge, // a majority of the term's voters holds the entry durably
    OutcomeUnknown, // it ran on a primary, but no majority is known to hold it
};

struct WriteAction
{
    WriteActionKind kind = WriteActionKind::OutcomeUnknown;
    WriteTicket ticket = 0;

    bool operator==(const WriteAction &) const = default;
};

using WriteActions = std::vector<WriteAction>;

// Decides when a write of one database group may be acknowledged. One object
// serves all waiting writes of a group in a proxy; an answer of any server may
// settle many of them.
//
//   quorum.setTerm(4, Voters({{a, b, c}}));
//   run(quorum.add(ticket, reply.position, now + settings.ackTimeout));
//   run(quorum.observe(b, answer.term, answer.durable));
//   run(quorum.expire(now));
//
// An entry counts only in the term in which the primary wrote it, and only with
// servers that reported that same term together with a durable entry of it. Each
// such report is a lasting fact: the server held the entry before it accepted any
// higher term. Once a majority of the voters has reported it, every majority that
// a later change fences has a server whose fence came after its report. That
// server's log is seen by the change, so the entry is kept, and so a report that
// was on its way when the fence came may still count. A report made with a higher
// term says nothing about the moment before the fence and never counts.
class WriteQuorum
{
public:
    // Takes the term and its voters. A lower term is ignored, and so is another
    // set of voters for the same term, since a term's voters never change.
    WriteActions setTerm(Term term, const Voters &voters);

    // Takes a server's own term and durable position out of any of its answers.
    // The first report of a higher term ends every write of an older one.
    WriteActions observe(const ServerId &server, Term term, const LogPosition &durable);

    // Starts to wait for the write at this position. A write of an older term is
    // unknown at once; one of a term not yet published waits for setTerm().
    WriteActions add(WriteTicket ticket, const LogPosition &position, TimePoint deadline);

    // Gives up on the writes whose deadline has come.
    WriteActions expire(TimePoint now);

    // Returns the earliest deadline of all waiting writes.
    std::optional<TimePoint> nextDeadline() const;

    // Returns the term of the last setTerm(), 0 before it.
    Term term() const { return m_term; }

private:
    struct PendingWrite
    {
        LogPosition position;
        TimePoint deadline;
    };

    void endOlderThan(Term term, WriteActions &actions);
    void acknowledgeConfirmed(WriteActions &actions);
    void forgetOtherTerms();

    Term m_term = 0;
    Term m_highestTerm = 0;
    Voters m_voters;
    std::map<ServerId, std::map<Term, LogPosition>> m_durable; // by the term it was reported in
    std::map<WriteTicket, PendingWrite> m_pending;
};

} // namespace nutmegtide
