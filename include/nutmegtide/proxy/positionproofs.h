#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/sessionstatement.h"

#include <deque>
#include <optional>
#include <vector>

namespace nutmegtide {

// What a server is sent for a proof. Only a plain begin is refused by one that has lost the lead;
// the answer to it has the position.
std::vector<ServerCommand> proofCommands();

// Positions of a primary's log, each with the moment at which it was asked for.
//
// A server that proves that it leads, in its answer to a request sent at t, held at t every
// commit that was acknowledged before t. So a server whose log holds the answer's position
// holds those commits too. Nothing is compared with the clock of another VM.
//
//   proofs.add(sentAt, reply.position);
//   proofs.coveringSince(now - route.largestAge); // what a read with an age needs
class PositionProofs
{
public:
    struct Proof
    {
        TimePoint askedAt;
        LogPosition position;
    };

    // Takes a position that a proved primary gave. Proofs that come out of order are taken in
    // where they belong.
    void add(TimePoint askedAt, const LogPosition &position);
    // Returns the proof with the lowest position that covers every commit acknowledged before the
    // moment; nothing where no proof was asked for at or after it.
    std::optional<Proof> coveringSince(TimePoint moment) const;
    // The moment of the youngest proof.
    std::optional<TimePoint> latest() const;

    // Since when a position that a proof gave is known to have been reached, at most a few seconds
    // back.
    TimePoint reachedAt(const Proof &proof) const;

private:
    std::deque<Proof> m_proofs; // by askedAt
};

} // namespace nutmegtide
