#include "nutmegtide/events/event.h"

#include "nutmegtide/base/text.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

struct KindRow
{
    EventKind kind;
    std::string_view name;
};

constexpr std::array<KindRow, 32> KindRows = {{
        {EventKind::NodeStarted, "node_started"},
        {EventKind::NodeDraining, "node_draining"},
        {EventKind::NodeStopped, "node_stopped"},
        {EventKind::ServerAnnounced, "server_announced"},
        {EventKind::ServerLost, "server_lost"},
        {EventKind::ServerLeaving, "server_leaving"},
        {EventKind::PrimarySuspected, "primary_suspected"},
        {EventKind::PrimaryChangeStarted, "primary_change_started"},
        {EventKind::GroupFenced, "group_fenced"},
        {EventKind::PrimaryChosen, "primary_chosen"},
        {EventKind::PrimaryPromoted, "primary_promoted"},
        {EventKind::PrimaryPublished, "primary_published"},
        {EventKind::PrimaryChangeFailed, "primary_change_failed"},
        {EventKind::WriteUnknown, "write_unknown"},
        {EventKind::StatementRefused, "statement_refused"},
        {EventKind::TransactionLost, "transaction_lost"},
        {EventKind::ConfigAccepted, "config_accepted"},
        {EventKind::ConfigInForce, "config_in_force"},
        {EventKind::ConfigConflict, "config_conflict"},
        {EventKind::MemberJoined, "member_joined"},
        {EventKind::MemberSuspected, "member_suspected"},
        {EventKind::MemberDead, "member_dead"},
        {EventKind::ControlLeader, "control_leader"},
        {EventKind::ControlSteppedDown, "control_stepped_down"},
        {EventKind::SnapshotTaken, "snapshot_taken"},
        {EventKind::LogRecovered, "log_recovered"},
        {EventKind::PowerOrdered, "power_ordered"},
        {EventKind::PowerConfirmed, "power_confirmed"},
        {EventKind::ChartTransition, "chart_transition"},
        {EventKind::HomeChanged, "home_changed"},
        {EventKind::ConnectionClosed, "connection_closed"},
        {EventKind::Other, "other"},
}};

using Json = nlohmann::json;

Event decode(const Json &json)
{
    Event event;
    event.time.physicalMicroseconds = json.at("physical_us").get<std::int64_t>();
    event.time.logical = json.at("logical").get<std::uint32_t>();
    event.vm = VmName(json.at("vm").get<std::string>());
    event.failureDomain = FailureDomain(json.at("failure_domain").get<std::string>());
    event.database = DatabaseName(json.at("database").get<std::string>());
    event.term = json.at("term").get<Term>();
    event.request = RequestId(json.at("request_id").get<std::string>());
    event.id = EventId(json.at("id").get<std::string>());
    event.cause = EventId(json.at("cause").get<std::string>());
    event.details = json.at("details").get<std::map<std::string, std::string>>();
    const auto name = json.at("kind").get<std::string>();
    event.kind = eventKindFromString(name).value_or(EventKind::Other);
    if (event.kind == EventKind::Other && name != toString(EventKind::Other))
        event.details["kind"] = name;
    return event;
}

} // namespace

std::string_view toString(EventKind kind)
{
    return std::find_if(KindRows.begin(), KindRows.end(),
                        [kind](const KindRow &row) { return row.kind == kind; })
            ->name;
}

std::optional<EventKind> eventKindFromString(std::string_view text)
{
    for (const KindRow &row : KindRows) {
        if (row.name == text)
            return row.kind;
    }
    return std::nullopt;
}

const std::vector<EventKind> &allEventKinds()
{
    static const std::vector<EventKind> kinds = [] {
        std::vector<EventKind> list;
        for (const KindRow &row : KindRows)
            list.push_back(row.kind);
        return list;
    }();
    return kinds;
}

std::string toJson(const Event &event)
{
    const Json json = {
            {"physical_us", event.time.physicalMicroseconds},
            {"logical", event.time.logical},
            {"vm", event.vm.text()},
            {"failure_domain", event.failureDomain.text()},
            {"kind", toString(event.kind)},
            {"database", event.database.text()},
            {"term", event.term},
            {"request_id", event.request.text()},
            {"id", event.id.text()},
            {"cause", event.cause.text()},
            {"details", event.details},
    };
    return encodeJsonLossy(json);
}

Event eventFromJson(std::string_view json)
{
    try {
        return decode(Json::parse(json));
    } catch (const Json::exception &error) {
        throw EventError(std::string("not an event: ") + error.what());
    }
}

} // namespace nutmegtide
