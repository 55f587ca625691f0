#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace nutmegtide {

// Proves how old a replica's data is at most, by the local monotonic clock alone.
//
//   age.observePrimary(term, reply.last, requestSentAt);
//   age.confirmLeadership(term, *proof.confirmedAt());
//   age.provedAge(replicaApplied, now);
//
// A position in an answer was read after the request was sent, so at the send
// time the primary stood at or below it. A replica at or past that position
// holds all that the primary held at the send time. For an announcement the
// moment is one that surely lies before the reading, such as the sending of the
// reply to the announcement before; never the receipt.
//
// An observation counts only once leadership in its term is proved for a moment
// at or after it: an old primary that is cut off says nothing about the writes of
// its successor. So the age of all replicas grows while leadership isn't proved,
// and the age of one that stops applying grows with the first write it misses.
// A proved observation stays true after a change of term.
class ReplicaAge
{
public:
    // Observations closer together than the spacing are thinned out; at most the
    // given number is kept.
    explicit ReplicaAge(Duration spacing = std::chrono::milliseconds(10),
                        std::size_t capacity = 512);

    // Takes a position of the primary and a moment not later than its reading.
    void observePrimary(Term term, const LogPosition &position, TimePoint notLaterThan);

    // Takes a moment at which the term's primary was proved to be the only one.
    void confirmLeadership(Term term, TimePoint confirmedAt);

    // Returns the time since the latest proved moment at which the primary stood
    // at or below the position; nothing where no such moment is known.
    std::optional<Duration> provedAge(const LogPosition &applied, TimePoint now) const;

private:
    struct Observation
    {
        Term term = 0;
        LogPosition position;
        TimePoint moment;
    };

    void append(std::deque<Observation> &observations, const Observation &observation) const;

    Duration m_spacing;
    std::size_t m_capacity;
    std::deque<Observation> m_unproved; // by moment
    std::deque<Observation> m_proved; // by moment
};

} // namespace nutmegtide
