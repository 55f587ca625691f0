#include "nutmegtide/backend/messages.h"

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/jsondepth.h"

namespace nutmegtide {

NLOHMANN_JSON_SERIALIZE_ENUM(ServerRole,
                             {{ServerRole::Primary, "primary"}, {ServerRole::Replica, "replica"}})
NLOHMANN_JSON_SERIALIZE_ENUM(ServerState,
                             {{ServerState::Joining, "joining"},
                              {ServerState::Ready, "ready"},
                              {ServerState::Leaving, "leaving"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Access, {{Access::Read, "read"}, {Access::Write, "write"}})

template <typename Tag>
void to_json(Json &json, const Name<Tag> &name)
{
    json = name.text();
}

template <typename Tag>
void from_json(const Json &json, Name<Tag> &name)
{
    name = Name<Tag>(json.get<std::string>());
}

void to_json(Json &json, const Endpoint &endpoint)
{
    json = toString(endpoint);
}

void from_json(const Json &json, Endpoint &endpoint)
{
    endpoint = parseEndpoint(json.get<std::string>());
}

void to_json(Json &json, const LogPosition &position)
{
    json = Json {{"term", position.term}, {"index", position.index}};
}

void from_json(const Json &json, LogPosition &position)
{
    json.at("term").get_to(position.term);
    json.at("index").get_to(position.index);
}

namespace {

// nlohmann's integer conversion accepts a negative number or a fraction for an unsigned member.
void readInto(const Json &json, const char *key, std::uint64_t &value)
{
    const Json &member = json.at(key);
    if (!member.is_number_unsigned())
        throw MessageError(std::string(key) + " is not a whole number of 0 or more");
    value = member.get<std::uint64_t>();
}

void readInto(const Json &json, const char *key, int &value)
{
    constexpr std::uint64_t Highest = 1'000'000;
    std::uint64_t number = 0;
    readInto(json, key, number);
    if (number > Highest)
        throw MessageError(std::string(key) + " is over " + std::to_string(Highest));
    value = static_cast<int>(number);
}

template <typename Value>
void readInto(const Json &json, const char *key, Value &value)
{
    json.at(key).get_to(value);
}

// Enumerators are checked strictly, since nlohmann maps unknown text to the first one.
template <typename Enum>
void readEnum(const Json &json, const char *key, Enum &value)
{
    const Json &member = json.at(key);
    value = member.get<Enum>();
    if (Json(value) != member)
        throw MessageError(std::string(key) + " has no such value: " + member.dump());
}

} // namespace

void to_json(Json &json, const ShareRequest &message)
{
    const auto validity = std::chrono::floor<std::chrono::milliseconds>(message.validity);
    json = Json {{"home", message.home}, {"stamp", message.stamp},
                 {"held", message.held}, {"homes", message.homes},
                 {"most", message.most}, {"validity_ms", validity.count()}};
}

void from_json(const Json &json, ShareRequest &message)
{
    readInto(json, "home", message.home);
    readInto(json, "stamp", message.stamp);
    readInto(json, "held", message.held);
    readInto(json, "homes", message.homes);
    readInto(json, "most", message.most);
    int milliseconds = 0;
    readInto(json, "validity_ms", milliseconds);
    message.validity = std::chrono::milliseconds(milliseconds);
}

void to_json(Json &json, const ShareGrant &message)
{
    json = Json {{"stamp", message.stamp}, {"connections", message.connections}};
}

void from_json(const Json &json, ShareGrant &message)
{
    readInto(json, "stamp", message.stamp);
    readInto(json, "connections", message.connections);
}

void to_json(Json &json, const Announcement &message)
{
    json = Json {{"server", message.server},
                 {"incarnation", message.incarnation},
                 {"address", message.address},
                 {"database", message.database},
                 {"failure_domain", message.failureDomain},
                 {"term", message.term},
                 {"role", message.role},
                 {"last", message.last},
                 {"durable", message.durable},
                 {"slots", message.slots},
                 {"connections", message.connections},
                 {"state", message.state},
                 {"voters", message.voters}};
    if (message.grant)
        json["share_grant"] = *message.grant;
}

void from_json(const Json &json, Announcement &message)
{
    readInto(json, "server", message.server);
    readInto(json, "incarnation", message.incarnation);
    readInto(json, "address", message.address);
    readInto(json, "database", message.database);
    readInto(json, "failure_domain", message.failureDomain);
    readInto(json, "term", message.term);
    readEnum(json, "role", message.role);
    readInto(json, "last", message.last);
    readInto(json, "durable", message.durable);
    readInto(json, "slots", message.slots);
    readInto(json, "connections", message.connections);
    readEnum(json, "state", message.state);
    readInto(json, "voters", message.voters);
    if (json.contains("share_grant"))
        message.grant = json.at("share_grant").get<ShareGrant>();
}

void to_json(Json &json, const AnnouncementReply &message)
{
    json = Json {{"homes", message.homes}, {"next_due_ms", message.nextDue.count()}};
    if (message.shareRequest)
        json["share_request"] = *message.shareRequest;
}

void from_json(const Json &json, AnnouncementReply &message)
{
    readInto(json, "homes", message.homes);
    std::uint64_t milliseconds = 0;
    readInto(json, "next_due_ms", milliseconds);
    message.nextDue = std::chrono::milliseconds(milliseconds);
    if (json.contains("share_request"))
        message.shareRequest = json.at("share_request").get<ShareRequest>();
}

void to_json(Json &json, const ExecuteRequest &message)
{
    json = Json {{"term", message.term},           {"request_id", message.requestId},
                 {"caller", message.caller},       {"access", message.access},
                 {"statement", message.statement}, {"parameters", message.parameters}};
    if (message.transaction)
        json["transaction"] = *message.transaction;
}

void from_json(const Json &json, ExecuteRequest &message)
{
    readInto(json, "term", message.term);
    readInto(json, "request_id", message.requestId);
    readInto(json, "caller", message.caller);
    readEnum(json, "access", message.access);
    readInto(json, "statement", message.statement);
    readInto(json, "parameters", message.parameters);
    if (json.contains("transaction"))
        message.transaction = json.at("transaction").get<TransactionId>();
}

void to_json(Json &json, const ExecuteReply &message)
{
    json = Json {{"request_id", message.requestId},
                 {"term", message.term},
                 {"role", message.role},
                 {"position", message.position},
                 {"replay", message.isReplay},
                 {"result", message.result}};
}

void from_json(const Json &json, ExecuteReply &message)
{
    readInto(json, "request_id", message.requestId);
    readInto(json, "term", message.term);
    readEnum(json, "role", message.role);
    readInto(json, "position", message.position);
    readInto(json, "replay", message.isReplay);
    readInto(json, "result", message.result);
}

void to_json(Json &json, const PositionReply &message)
{
    json = Json {{"term", message.term},
                 {"role", message.role},
                 {"last", message.last},
                 {"durable", message.durable}};
}

void from_json(const Json &json, PositionReply &message)
{
    readInto(json, "term", message.term);
    readEnum(json, "role", message.role);
    readInto(json, "last", message.last);
    readInto(json, "durable", message.durable);
}

void to_json(Json &json, const FenceRequest &message)
{
    json = Json {{"term", message.term}};
}

void from_json(const Json &json, FenceRequest &message)
{
    readInto(json, "term", message.term);
}

void to_json(Json &json, const FenceReply &message)
{
    json = Json {{"term", message.term}, {"last", message.last}, {"durable", message.durable}};
}

void from_json(const Json &json, FenceReply &message)
{
    readInto(json, "term", message.term);
    readInto(json, "last", message.last);
    readInto(json, "durable", message.durable);
}

void to_json(Json &json, const PromoteRequest &message)
{
    json = Json {{"term", message.term}, {"voters", message.voters}};
}

void from_json(const Json &json, PromoteRequest &message)
{
    readInto(json, "term", message.term);
    readInto(json, "voters", message.voters);
}

void to_json(Json &json, const PromoteReply &message)
{
    json = Json {{"term", message.term}, {"barrier", message.barrier}};
}

void from_json(const Json &json, PromoteReply &message)
{
    readInto(json, "term", message.term);
    readInto(json, "barrier", message.barrier);
}

void to_json(Json &json, const FollowRequest &message)
{
    json = Json {{"term", message.term}, {"primary", message.primary}, {"voters", message.voters}};
}

void from_json(const Json &json, FollowRequest &message)
{
    readInto(json, "term", message.term);
    readInto(json, "primary", message.primary);
    readInto(json, "voters", message.voters);
}

void to_json(Json &json, const FollowReply &message)
{
    json = Json {{"term", message.term}, {"last", message.last}};
}

void from_json(const Json &json, FollowReply &message)
{
    readInto(json, "term", message.term);
    readInto(json, "last", message.last);
}

void to_json(Json &json, const RequestOutcome &message)
{
    json = Json {{"ran", message.ran}, {"position", message.position}, {"result", message.result}};
}

void from_json(const Json &json, RequestOutcome &message)
{
    readInto(json, "ran", message.ran);
    readInto(json, "position", message.position);
    readInto(json, "result", message.result);
}

void to_json(Json &json, const BackendRefusal &message)
{
    json = Json {{"type", message.type}, {"message", message.message}, {"term", message.term}};
}

void from_json(const Json &json, BackendRefusal &message)
{
    readInto(json, "type", message.type);
    readInto(json, "message", message.message);
    readInto(json, "term", message.term);
}

template <typename Message>
Message parseMessage(const std::string &body)
{
    if (isTooDeepJson(body))
        throw MessageError("the message nests over " + std::to_string(DeepestJson) + " levels");
    try {
        return Json::parse(body).get<Message>();
    } catch (const Json::exception &fault) {
        throw MessageError(fault.what());
    } catch (const EndpointError &fault) {
        throw MessageError(fault.what());
    }
}

template Announcement parseMessage(const std::string &body);
template AnnouncementReply parseMessage(const std::string &body);
template ExecuteRequest parseMessage(const std::string &body);
template ExecuteReply parseMessage(const std::string &body);
template PositionReply parseMessage(const std::string &body);
template FenceRequest parseMessage(const std::string &body);
template FenceReply parseMessage(const std::string &body);
template PromoteRequest parseMessage(const std::string &body);
template PromoteReply parseMessage(const std::string &body);
template FollowRequest parseMessage(const std::string &body);
template FollowReply parseMessage(const std::string &body);
template RequestOutcome parseMessage(const std::string &body);
template BackendRefusal parseMessage(const std::string &body);

} // namespace nutmegtide
