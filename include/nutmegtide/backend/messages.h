#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

// The messages between the system and a backend server, as JSON over HTTP. A
// decoder throws MessageError for a missing member or one of a wrong type.
namespace nutmegtide {

using Json = nlohmann::json;

enum class ServerRole {
    Primary,
    Replica,
};

enum class ServerState {
    Joining, // doesn't hold its group's log yet
    Ready,
    Leaving, // takes no new work
};

enum class Access {
    Read,
    Write,
};

// One run of a home proxy: its VM and the incarnation of its process.
using HomeRunId = Name<struct HomeRunIdTag>;
// Numbers the requests of one home; it grows, and only the home understands it.
using ShareStamp = std::uint64_t;

// The header by which a connection for statements or positions says whose it is.
constexpr const char *HomeHeader = "Nutmegtide-Home";

// A home asks a backend server for its share of the server's connections.
struct ShareRequest
{
    HomeRunId home;
    ShareStamp stamp = 0;
    int held = 0; // connections that the home may be holding at this moment
    int homes = 1; // among how many the home would divide the budget
    int most = 0; // connections that all homes together may hold, by the home's settings
    Duration validity {}; // of the share, from the request on; whole milliseconds on the wire

    bool operator==(const ShareRequest &) const = default;
};

struct ShareGrant
{
    ShareStamp stamp = 0; // of the request that is answered; 0 before the first one
    int connections = 0;

    bool operator==(const ShareGrant &) const = default;
};

// What a backend server says of itself: POST /v1/announce to a proxy.
struct Announcement
{
    ServerId server;
    Incarnation incarnation = 0;
    Endpoint address;
    DatabaseName database;
    FailureDomain failureDomain;
    Term term = 0; // the highest one it has accepted, also by a fence
    ServerRole role = ServerRole::Replica;
    LogPosition last; // applied and readable
    LogPosition durable; // synced to its disk
    int slots = 0; // statements it runs at the same time
    int connections = 0; // connections it accepts from all proxies together
    ServerState state = ServerState::Joining;
    std::vector<ServerId> voters; // of its term, as named by the promotion
    std::optional<ShareGrant> grant; // for this home's latest request; absent where it divides none
};

struct AnnouncementReply
{
    std::vector<Endpoint> homes; // proxies to announce to from now on
    std::chrono::milliseconds nextDue = std::chrono::milliseconds::zero();
    std::optional<ShareRequest> shareRequest; // answered by the next announcement, sent at once
};

// POST /v1/execute. A transaction is begun, committed and rolled back by the
// statements "begin", "commit" and "rollback" with its id.
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

struct ExecuteReply
{
    RequestId requestId;
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition position; // of the write, or the last applied one for a read
    bool isReplay = false; // the request had run before; this is its first result
    Json result;
};

// GET /v1/position?term=&at_least=&wait_ms= : answers once the server's durable
// position is past at_least, its term changes, or the wait is over.
struct PositionReply
{
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition last;
    LogPosition durable;
};

// POST /v1/fence: the server takes the term, refuses lower ones and stops replicating.
struct FenceRequest
{
    Term term = 0;
};

struct FenceReply
{
    Term term = 0;
    LogPosition last;
    LogPosition durable;
};

// POST /v1/promote: the server becomes primary of the term and writes a barrier entry.
struct PromoteRequest
{
    Term term = 0;
    std::vector<ServerId> voters;
};

struct PromoteReply
{
    Term term = 0;
    LogPosition barrier;
};

// POST /v1/follow: the server cuts off what the primary doesn't have and replicates from it.
struct FollowRequest
{
    Term term = 0;
    Endpoint primary;
    std::vector<ServerId> voters;
};

struct FollowReply
{
    Term term = 0;
    LogPosition last;
};

// GET /v1/requests/{id}?caller= : what became of a request.
struct RequestOutcome
{
    bool ran = false;
    LogPosition position;
    Json result;
};

// Any refusal, with status 409 for stale_term and key_reused, 400, 404, 422, 429 or 503.
struct BackendRefusal
{
    std::string type; // stale_term, key_reused, not_primary, leaving, no_transaction, rejected, ...
    std::string message;
    Term term = 0; // the server's own term
};

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

// Parses one message of the given type. Throws MessageError for bad JSON or another form.
template <typename Message>
Message parseMessage(const std::string &body);

} // namespace nutmegtide
