#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

// The messages between proxies and backend servers, as JSON over HTTP. A
// decoder throws MessageError for a missing member or one of a wrong type.
namespace nutmegtide {

using Json = nlohmann::json;

// The role of a backend server in its group.
enum class ServerRole {
    Primary,
    Replica,
};

// The lifecycle state of a backend server.
enum class ServerState {
    Joining, // doesn't hold its group's log yet
    Ready,
    Leaving, // accepts no new work
};

// Whether a statement only reads.
enum class Access {
    Read,
    Write,
};

// Identifies one run of a home proxy: its VM and the incarnation of its process.
using HomeRunId = Name<struct HomeRunIdTag>;
// An increasing number of a home's share requests; only that home interprets it.
using ShareStamp = std::uint64_t;

// The HTTP header that names the home proxy to which a connection for statements or positions
// belongs.
constexpr const char *HomeHeader = "Nutmegtide-Home";

// A home proxy's request to a backend server for a share of the server's connections.
struct ShareRequest
{
    HomeRunId home;
    ShareStamp stamp = 0;
    int held = 0; // connections that the home may be holding at this moment
    int homes = 1; // the number of homes that share the connections, as the home sees it
    int most = 0; // limit for all homes together, by the home's settings
    Duration validity {}; // of the share, from the request on; whole milliseconds in JSON

    bool operator==(const ShareRequest &) const = default;
};

// The connections that a backend server grants to a home proxy.
struct ShareGrant
{
    ShareStamp stamp = 0; // of the request that this answers; 0 if there was none
    int connections = 0;

    bool operator==(const ShareGrant &) const = default;
};

// A backend server's report about itself: POST /v1/announce to a proxy.
struct Announcement
{
    ServerId server;
    Incarnation incarnation = 0;
    Endpoint address;
    DatabaseName database;
    FailureDomain failureDomain;
    Term term = 0; // the highest term it has accepted, also by a fence
    ServerRole role = ServerRole::Replica;
    LogPosition last; // the end of its log that is applied and readable
    LogPosition durable; // the end of its log that is synced to disk
    int slots = 0; // statements that it runs concurrently
    int connections = 0; // connections that it accepts from all proxies together
    ServerState state = ServerState::Joining;
    std::vector<ServerId> voters; // of its term, as given by the promotion
    std::optional<ShareGrant> grant; // answers this home's latest request; absent without a budget
};

// A proxy's answer to an Announcement.
struct AnnouncementReply
{
    std::vector<Endpoint> homes; // the proxies to announce to from now on
    std::chrono::milliseconds nextDue = std::chrono::milliseconds::zero(); // until the next one
    // The server answers it by its next announcement, which it then sends at once.
    std::optional<ShareRequest> shareRequest;
};

// POST /v1/execute. A transaction is begun, committed and rolled back by the
// statements "begin", "commit" and "rollback" that carry its id.
struct ExecuteRequest
{
    Term term = 0;
    RequestId requestId;
    CallerId caller; // request ids are scoped to caller and database
    Access access = Access::Read;
    std::optional<TransactionId> transaction;
    std::string statement;
    Json parameters = Json::object();
};

// A backend server's answer to an ExecuteRequest that succeeded.
struct ExecuteReply
{
    RequestId requestId;
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition position; // of the write; for a read, the last applied position
    bool isReplay = false; // the request had run before, and this is its first result
    Json result;
};

// GET /v1/position?term=&at_least=&wait_ms= : a long poll that answers once the server's
// durable position is past at_least, its term changes, or the wait time is over.
struct PositionReply
{
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition last;
    LogPosition durable;
};

// POST /v1/fence: the server accepts the term, rejects lower terms and stops replicating.
struct FenceRequest
{
    Term term = 0;
};

// The server's term and log positions once the fence holds.
struct FenceReply
{
    Term term = 0;
    LogPosition last;
    LogPosition durable;
};

// POST /v1/promote: the server becomes primary of the term and appends a barrier entry.
struct PromoteRequest
{
    Term term = 0;
    std::vector<ServerId> voters;
};

// The answer of the new primary.
struct PromoteReply
{
    Term term = 0;
    LogPosition barrier; // of the barrier entry
};

// POST /v1/follow: the server truncates log entries that the primary lacks and replicates from it.
struct FollowRequest
{
    Term term = 0;
    Endpoint primary;
    std::vector<ServerId> voters;
};

// The answer of a server that follows the primary; `last` is the end of its log after the
// truncation.
struct FollowReply
{
    Term term = 0;
    LogPosition last;
};

// GET /v1/requests/{id}?caller= : the outcome of a request.
struct RequestOutcome
{
    bool ran = false; // whether the request was executed
    LogPosition position;
    Json result;
};

// Any refusal. The status is 409 for stale_term and key_reused, otherwise 400, 404, 422, 429 or
// 503.
struct BackendRefusal
{
    std::string type; // stale_term, key_reused, not_primary, leaving, no_transaction, rejected, ...
    std::string message; // for people
    Term term = 0; // the server's own term
};

// Conversions from and to JSON.
void to_json(Json &json, const ShareRequest &message);
void from_json(const Json &json, ShareRequest &message);
void to_json(Json &json, const ShareGrant &message);
void from_json(const Json &json, ShareGrant &message);
void to_json(Json &json, const Announcement &message);
void from_json(const Json &json, Announcement &message);
void to_json(Json &json, const AnnouncementReply &message);
void from_json(const Json &json, AnnouncementReply &message);
void to_json(Json &json, const ExecuteRequest &message);
void from_json(const Json &json, ExecuteRequest &message);
void to_json(Json &json, const ExecuteReply &message);
void from_json(const Json &json, ExecuteReply &message);
void to_json(Json &json, const PositionReply &message);
void from_json(const Json &json, PositionReply &message);
void to_json(Json &json, const FenceRequest &message);
void from_json(const Json &json, FenceRequest &message);
void to_json(Json &json, const FenceReply &message);
void from_json(const Json &json, FenceReply &message);
void to_json(Json &json, const PromoteRequest &message);
void from_json(const Json &json, PromoteRequest &message);
void to_json(Json &json, const PromoteReply &message);
void from_json(const Json &json, PromoteReply &message);
void to_json(Json &json, const FollowRequest &message);
void from_json(const Json &json, FollowRequest &message);
void to_json(Json &json, const FollowReply &message);
void from_json(const Json &json, FollowReply &message);
void to_json(Json &json, const RequestOutcome &message);
void from_json(const Json &json, RequestOutcome &message);
void to_json(Json &json, const BackendRefusal &message);
void from_json(const Json &json, BackendRefusal &message);
void to_json(Json &json, const LogPosition &position);
void from_json(const Json &json, LogPosition &position);

// Parses one message of the given type. Throws MessageError for malformed JSON, JSON that nests
// too deeply, or JSON that doesn't match the type.
template <typename Message>
Message parseMessage(const std::string &body);

} // namespace nutmegtide
