#include "serve/configwire.h"

#include "nutmegtide/base/text.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

struct OutcomeRow
{
    ConfigOutcome outcome;
    wire::SubmitOutcome::type wire;
    std::string_view name; // in JSON
    int status; // of HTTP
};

// The first row of a name on the wire is what it is read back as.
constexpr std::array<OutcomeRow, 6> OutcomeRows = {{
        {ConfigOutcome::Accepted, wire::SubmitOutcome::ACCEPTED, "accepted", 200},
        {ConfigOutcome::Conflict, wire::SubmitOutcome::CONFLICT, "conflict", 409},
        {ConfigOutcome::Invalid, wire::SubmitOutcome::INVALID, "invalid", 400},
        {ConfigOutcome::ChangeIdReused, wire::SubmitOutcome::INVALID, "invalid", 400},
        {ConfigOutcome::Unknown, wire::SubmitOutcome::UNKNOWN, "unknown", 504},
        {ConfigOutcome::NotLeader, wire::SubmitOutcome::NOT_LEADER, "unknown", 503},
}};

const OutcomeRow &rowOf(ConfigOutcome outcome)
{
    return *std::find_if(OutcomeRows.begin(), OutcomeRows.end(),
                         [outcome](const OutcomeRow &row) { return row.outcome == outcome; });
}

ConfigOutcome outcomeOf(wire::SubmitOutcome::type outcome)
{
    for (const OutcomeRow &row : OutcomeRows) {
        if (row.wire == outcome)
            return row.outcome;
    }
    return ConfigOutcome::Unknown;
}

} // namespace

wire::ConfigSubmission toWire(const ConfigSubmission &submission)
{
    wire::ConfigSubmission result;
    result.changeId = submission.changeId.text();
    result.baseRevision = static_cast<std::int64_t>(submission.baseRevision);
    result.toml = submission.toml;
    result.operatorName = submission.operatorName;
    return result;
}

ConfigSubmission fromWire(const wire::ConfigSubmission &submission)
{
    return {ChangeId(submission.changeId), static_cast<Revision>(submission.baseRevision),
            submission.toml, submission.operatorName};
}

wire::SubmitReply toWire(const SubmitAnswer &answer)
{
    wire::SubmitReply reply;
    reply.outcome = rowOf(answer.decision.outcome).wire;
    reply.revision = static_cast<std::int64_t>(answer.decision.revision);
    reply.winner = answer.decision.winner.text();
    reply.message = answer.decision.message;
    if (answer.leader)
        reply.leader = toString(*answer.leader);
    return reply;
}

SubmitAnswer fromWire(const wire::SubmitReply &reply)
{
    SubmitAnswer answer;
    answer.decision = {outcomeOf(reply.outcome), static_cast<Revision>(reply.revision),
                       ChangeId(reply.winner), reply.message};
    if (!reply.leader.empty())
        answer.leader = parseEndpoint(reply.leader);
    return answer;
}

wire::ConfigRevision toWire(const ConfigRevision &revision)
{
    wire::ConfigRevision result;
    result.revision = static_cast<std::int64_t>(revision.revision);
    result.toml = revision.toml;
    result.changeId = revision.changeId.text();
    return result;
}

ConfigRevision fromWire(const wire::ConfigRevision &revision)
{
    return {static_cast<Revision>(revision.revision), revision.toml, ChangeId(revision.changeId)};
}

wire::ConfigPush toWire(const PushConfig &push)
{
    wire::ConfigPush result;
    result.revision = toWire(push.revision);
    for (const VmName &vm : push.onward)
        result.onward.push_back(vm.text());
    return result;
}

std::vector<VmName> onwardOf(const wire::ConfigPush &push)
{
    std::vector<VmName> onward;
    for (const std::string &vm : push.onward)
        onward.emplace_back(vm);
    return onward;
}

wire::ConfigPage toPage(const ConfigRevision &revision, Revision latest)
{
    wire::ConfigPage page;
    page.latest = static_cast<std::int64_t>(latest);
    if (revision.revision != 0)
        page.revisions.push_back(toWire(revision));
    return page;
}

ConfigRevision fromWire(const wire::ConfigPage &page)
{
    ConfigRevision highest;
    for (const wire::ConfigRevision &revision : page.revisions) {
        if (static_cast<Revision>(revision.revision) > highest.revision)
            highest = fromWire(revision);
    }
    return highest;
}

ConfigSubmission submissionFromJson(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        throw MessageError("the body is no JSON object");
    try {
        if (!json.at("base_revision").is_number_unsigned())
            throw MessageError("base_revision: a whole number from 0 is needed");
        return {ChangeId(json.at("change_id").get<std::string>()),
                json.at("base_revision").get<Revision>(), json.at("toml").get<std::string>(),
                json.value("operator", "")};
    } catch (const Json::exception &fault) {
        throw MessageError(fault.what());
    }
}

HttpResponse toHttp(const ConfigDecision &decision)
{
    const OutcomeRow &row = rowOf(decision.outcome);
    const Json json {{"outcome", row.name},
                     {"revision", decision.revision},
                     {"winner", decision.winner.text()},
                     {"message", decision.message}};
    HttpResponse response;
    response.status = row.status;
    response.body = encodeJsonLossy(json);
    return response;
}

} // namespace nutmegtide
