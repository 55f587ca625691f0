#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace nutmegtide {

// What a proxy knows of one backend server when it routes a read.
struct ServerSnapshot
{
    ServerId id;
    FailureDomain failureDomain;
    ServerRole role = ServerRole::Replica;
    LogPosition applied;
    std::optional<Duration> provedAge; // nothing where none is proved
    int inFlight = 0;
    int limit = 0; // statements it may run at the same time
    ServerState state = ServerState::Ready;
    bool isSuspect = false;
};

struct GroupSnapshot
{
    Term term = 0;
    std::optional<ServerId> primary;
    bool isLeadershipConfirmed = false; // within the detection time
    std::vector<ServerSnapshot> servers;
};

struct ReadNeed
{
    std::optional<LogPosition> token; // what the session has seen
    bool hasUnknownWrite = false;
    std::optional<Duration> maxAge; // nothing where no age is accepted
    FailureDomain failureDomain; // of the proxy
    TimePoint deadline;
};

// Send the read to this replica.
struct ServeBy
{
    ServerId server;
};

// Wait until the replica has the token's position; after the time is over use the
// primary, or ask again where there is none.
struct WaitFor
{
    ServerId server;
    Duration upTo = Duration::zero();
    std::optional<ServerId> primary;
};

// Send the read to the primary. With an unknown write, its request id is settled first.
struct UsePrimary
{
    ServerId server;
    bool settlesUnknownWrite = false;
};

// Answer at once; the read wasn't run.
struct RefuseRead
{
    StatementFailure failure = StatementFailure::NoPrimary;
    Duration retryAfter = Duration::zero();
};

using ReadDecision = std::variant<ServeBy, WaitFor, UsePrimary, RefuseRead>;

// How long a read may wait for a replica that is behind its token.
class WaitPolicy
{
public:
    virtual ~WaitPolicy() = default;
    // Returns zero where the read doesn't wait; remaining is the time to its deadline.
    virtual Duration wait(Duration remaining) const = 0;
};

class NoWait : public WaitPolicy
{
public:
    Duration wait(Duration) const override { return Duration::zero(); }
};

// Waits at most for the limit, and never longer than a quarter of the time left,
// so that the primary can still answer.
class BoundedWait : public WaitPolicy
{
public:
    explicit BoundedWait(Duration limit)
        : m_limit(limit)
    { }

    Duration wait(Duration remaining) const override;

private:
    Duration m_limit;
};

// Chooses the server of a read.
//
//   const ReadRouter router(std::make_unique<BoundedWait>(settings.replicaWait), 100ms);
//   const ReadDecision decision = router.decide(group, need, now, generator);
//
// A read that accepts no age takes the primary while its leadership is confirmed.
// One that accepts an age takes a replica whose proved age and position suffice:
// the less loaded of two drawn at random, in the proxy's own failure domain first.
// A server that joins, leaves or is suspect gets no new work. After a write of
// unknown outcome no position tells whether a replica holds it, so the read takes
// the primary, after the primary has said what became of the request id.
class ReadRouter
{
public:
    // retryAfter is told to callers that are refused.
    ReadRouter(std::unique_ptr<WaitPolicy> waitPolicy, Duration retryAfter);

    ReadDecision decide(const GroupSnapshot &group, const ReadNeed &need, TimePoint now,
                        std::mt19937_64 &generator) const;

private:
    ReadDecision primaryOrRefusal(const GroupSnapshot &group, const ReadNeed &need) const;

    std::unique_ptr<WaitPolicy> m_waitPolicy;
    Duration m_retryAfter;
};

// Returns whether a server whose last entry stands here holds all the token names.
// An entry of a higher term is enough: a new primary holds every acknowledged entry.
bool isTokenSatisfied(const LogPosition &applied, const std::optional<LogPosition> &token);

} // namespace nutmegtide
