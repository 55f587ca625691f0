#include "nutmegtide/failover/groupledger.h"

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/text.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> KindNames = {"adopt", "reserve", "publish"};

GroupCommandKind kindFromText(const std::string &text)
{
    for (std::size_t i = 0; i < KindNames.size(); ++i) {
        if (KindNames.at(i) == text)
            return static_cast<GroupCommandKind>(i);
    }
    throw MessageError("unknown group command: " + text);
}

Json serverTexts(const std::vector<ServerId> &servers)
{
    Json texts = Json::array();
    for (const ServerId &server : servers)
        texts.push_back(server.text());
    return texts;
}

std::vector<ServerId> serversOf(const Json &texts)
{
    std::vector<ServerId> servers;
    for (const Json &text : texts)
        servers.emplace_back(text.get<std::string>());
    return servers;
}

GroupRecord recordOf(const Json &json)
{
    GroupRecord record;
    json.at("term").get_to(record.term);
    record.primary = ServerId(json.at("primary").get<std::string>());
    record.voters = serversOf(json.at("voters"));
    record.pendingVoters = serversOf(json.at("pending"));
    json.at("attempt").get_to(record.attempt);
    json.at("owner").get_to(record.attemptOwner);
    return record;
}

} // namespace

std::string encode(const GroupCommand &command)
{
    return encodeJson({{"kind", KindNames.at(static_cast<std::size_t>(command.kind))},
                       {"database", command.database.text()},
                       {"term", command.term},
                       {"owner", command.owner},
                       {"primary", command.primary.text()},
                       {"voters", serverTexts(command.voters)}});
}

GroupCommand decodeGroupCommand(const std::string &payload)
{
    try {
        const Json json = Json::parse(payload);
        GroupCommand command;
        command.kind = kindFromText(json.at("kind").get<std::string>());
        command.database = DatabaseName(json.at("database").get<std::string>());
        json.at("term").get_to(command.term);
        json.at("owner").get_to(command.owner);
        command.primary = ServerId(json.at("primary").get<std::string>());
        command.voters = serversOf(json.at("voters"));
        return command;
    } catch (const Json::exception &fault) {
        throw MessageError(std::string("malformed group command: ") + fault.what());
    }
}

void GroupLedger::apply(std::uint64_t /*index*/, const std::string &payload)
{
    const GroupCommand command = decodeGroupCommand(payload);
    const auto found = m_records.find(command.database);
    if (found == m_records.end()) {
        if (command.kind != GroupCommandKind::Adopt)
            return;
        GroupRecord record;
        record.term = command.term;
        record.primary = command.primary;
        record.voters = command.voters;
        record.attempt = command.term;
        m_records.emplace(command.database, std::move(record));
        return;
    }
    if (command.kind == GroupCommandKind::Reserve)
        reserve(found->second, command);
    if (command.kind == GroupCommandKind::Publish)
        publish(found->second, command);
}

void GroupLedger::reserve(GroupRecord &record, const GroupCommand &command)
{
    if (command.term <= record.attempt)
        return;
    const bool keepsVoters = command.voters == record.voters;
    const bool isOtherPending = !record.pendingVoters.empty()
            && command.voters != record.pendingVoters;
    // The pending voters may have acknowledged writes, so a third set of voters has to wait.
    if (!keepsVoters && isOtherPending)
        return;
    if (!keepsVoters)
        record.pendingVoters = command.voters;
    record.attempt = command.term;
    record.attemptOwner = command.owner;
}

void GroupLedger::publish(GroupRecord &record, const GroupCommand &command)
{
    if (command.term != record.attempt || command.owner != record.attemptOwner)
        return;
    record.term = command.term;
    record.primary = command.primary;
    record.voters = command.voters;
    record.pendingVoters.clear();
}

std::string GroupLedger::snapshot() const
{
    Json json = Json::object();
    for (const auto &[database, record] : m_records) {
        json[database.text()] = {{"term", record.term},
                                 {"primary", record.primary.text()},
                                 {"voters", serverTexts(record.voters)},
                                 {"pending", serverTexts(record.pendingVoters)},
                                 {"attempt", record.attempt},
                                 {"owner", record.attemptOwner}};
    }
    return encodeJson(json);
}

void GroupLedger::restore(const std::string &snapshot)
{
    try {
        std::map<DatabaseName, GroupRecord> records;
        const Json json = Json::parse(snapshot);
        for (const auto &[database, record] : json.items())
            records.emplace(DatabaseName(database), recordOf(record));
        m_records = std::move(records);
    } catch (const Json::exception &fault) {
        throw MessageError(std::string("malformed snapshot of the database groups: ")
                           + fault.what());
    }
}

const GroupRecord *GroupLedger::find(const DatabaseName &database) const
{
    const auto found = m_records.find(database);
    return found == m_records.end() ? nullptr : &found->second;
}

} // namespace nutmegtide
