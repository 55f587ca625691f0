#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/statement/voters.h"

#include <map>
#include <optional>

namespace nutmegtide {

// Knows the latest local moment at which the primary of a term was still the only
// one. Writes are refused as not run while it lies too far back, instead of being
// sent to a primary that may be cut off.
//
//   proof.setTerm(4, voters);
//   proof.confirm(b, answer.term, requestSentAt);
//   if (!proof.isConfirmedWithin(settings.detectionTime, now)) ...
//
// A server that answers with term T had accepted no higher term when the request
// was sent, whatever time the answer took. A primary of T+1 needs a majority of
// fenced voters. So at the moment that a majority of T's voters has passed by the
// send times of its answers, no primary of T+1 existed. The receipt time proves nothing.
class LeadershipProof
{
public:
    // Takes the term and its voters; a term at or below the known one is ignored.
    void setTerm(Term term, const Voters &voters);

    // Takes the term in a server's answer to a request sent at this moment. A
    // server known to be at a higher term no longer counts for the lower one.
    void confirm(const ServerId &server, Term term, TimePoint sentAt);

    // Returns the latest moment of sole leadership in term(), nothing before the first.
    std::optional<TimePoint> confirmedAt() const;

    bool isConfirmedWithin(Duration detectionTime, TimePoint now) const;
    Term term() const { return m_term; }

private:
    struct Confirmation
    {
        Term term = 0;
        TimePoint sentAt;
    };

    Term m_term = 0;
    Voters m_voters;
    std::map<ServerId, Confirmation> m_confirmations;
};

} // namespace nutmegtide
