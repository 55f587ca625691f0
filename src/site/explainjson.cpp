#include "site/explainjson.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

// Rounds to thousandths, which keeps the answer readable.
double rounded(double value)
{
    constexpr double Parts = 1'000;
    return std::round(value * Parts) / Parts;
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json toJson(const AgedValue &value)
{
    return {{"value", rounded(value.value)},
            {"age_ms", value.age ? Json(milliseconds(*value.age)) : Json()}};
}

Json toJson(const ReadCandidate &candidate, bool isBalanced)
{
    constexpr double Percent = 100;
    Json json = {
            {"server", candidate.server.text()},
            {"failure_domain", candidate.failureDomain.text()},
            {"role", candidate.isPrimary ? "primary" : "replica"},
            {"slots", candidate.slots},
            {"readable", !candidate.exclusion},
            {"excluded", candidate.exclusion ? Json(toString(*candidate.exclusion)) : Json()},
            {"running", candidate.running},
            {"waiting", candidate.waiting},
            {"response_time_ms", toJson(candidate.responseTime)},
            {"reported_wait_ms", toJson(candidate.reportedWait)},
            {"failure_share", toJson(candidate.failureShare)},
            {"replication_lag_ms", toJson(candidate.replicationLag)},
            {"price_ms", rounded(candidate.price)},
    };
    Json &rating = json[isBalanced ? "probability_percent" : "cost_ms"];
    if (candidate.rating)
        rating = rounded(*candidate.rating * (isBalanced ? Percent : 1));
    return json;
}

Json needOf(const RouteExplanation &route)
{
    if (route.isWrite)
        return {};
    if (!route.need)
        return "proof needed";
    std::ostringstream position;
    position << route.need->position;
    return {{"position", position.str()}, {"proof_age_ms", milliseconds(route.need->proofAge)}};
}

Json capOf(const SiteExplanation &explanation)
{
    const OperationCap &cap = explanation.route.cap;
    if (!cap.isSet())
        return {};
    return {{"workspace", explanation.workspace.text()},
            {"per_second", cap.perSecond},
            {"burst", cap.burst},
            {"needs_loan", true}};
}

const char *choiceOf(const RouteExplanation &route)
{
    if (route.isWrite)
        return "primary";
    return route.readers.isBalanced ? "draw" : "lowest cost";
}

} // namespace

Json toJson(const SiteExplanation &explanation)
{
    const RouteExplanation &route = explanation.route;
    Json candidates = Json::array();
    for (const ReadCandidate &candidate : route.readers.candidates)
        candidates.push_back(toJson(candidate, route.readers.isBalanced));
    return {
            {"vm", explanation.vm},
            {"database", route.route.database.text()},
            {"service", route.route.service.text()},
            {"revision", route.revision},
            {"access", route.isWrite ? "write" : "read"},
            {"consistency", toString(route.route.consistency)},
            {"outcome", toString(route.outcome)},
            {"reason", route.reason},
            {"server", route.server ? Json(route.server->text()) : Json()},
            {"home", explanation.home},
            {"choice", choiceOf(route)},
            {"need", needOf(route)},
            {"cap", capOf(explanation)},
            {"candidates", candidates},
            {"candidates_omitted", route.readers.omitted},
    };
}

} // namespace nutmegtide
