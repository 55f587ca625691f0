#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegtide {

// Why a server gets no reads, in the order in which the reasons are reported.
enum class ReadExclusion {
    Gone,
    Leaving,
    Failing, // it has not replied since its first failure
    Avoided, // for a while after a failure, or since it was too slow
    WrongAddress,
    NoConnectionLeft,
    Behind, // its log lacked the position that is needed a moment ago; balanced services only
};

// Returns the name used in explanations.
std::string_view toString(ReadExclusion exclusion);

// A value as it was last updated.
struct AgedValue
{
    double value = 0;
    std::optional<Duration> age; // nothing if no value was ever received
};

// A server of a service as a candidate for a read.
struct ReadCandidate
{
    ServerId server;
    FailureDomain failureDomain;
    bool isPrimary = false;
    int slots = 0;
    std::optional<ReadExclusion> exclusion;
    // Statements of this process.
    int running = 0;
    int waiting = 0;
    AgedValue responseTime; // milliseconds
    AgedValue reportedWait; // milliseconds
    AgedValue failureShare; // 0 to 1
    AgedValue replicationLag; // milliseconds
    double price = 0; // milliseconds
    // The probability, 0 to 1, for a balanced service, and else the expected cost in milliseconds.
    // Nothing for an excluded server.
    std::optional<double> rating;
};

// The servers that a read can go to, those that may be read first, in the order of their ratings.
struct ReaderExplanation
{
    bool isBalanced = false; // the server is drawn at random
    std::vector<ReadCandidate> candidates;
    std::size_t omitted = 0; // further candidates
    std::optional<ServerId> chosen;
};

} // namespace nutmegtide
