#pragma once

#include "nutmegtide/proxy/readexplanation.h"
#include "nutmegtide/proxy/routetable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace nutmegtide {

// A request whose route is to be explained.
struct RouteQuestion
{
    DatabaseName database;
    bool isWrite = false;
    WorkspaceName workspace; // empty: none
    // Replaces the largest age of the route, for reads that allow one.
    std::optional<std::chrono::milliseconds> largestAge;
};

// Why a question has no explanation.
enum class QuestionFault {
    NoRoutes, // the process has no configuration yet
    UnknownDatabase,
    UnknownWorkspace,
    AgeNotApplicable, // the request is a write, or its route reads the latest data
};

// What would happen to a request.
enum class RouteOutcome {
    Server, // it would go to a server
    Refused,
    Waits, // it would be tried again until its deadline
};

// Returns the name used in explanations.
std::string_view toString(RouteOutcome outcome);

// The position that a read needs, as far as it is proved.
struct ExplainedNeed
{
    LogPosition position;
    Duration proofAge {}; // time since the proof was requested
};

// Where a request would go, and why.
struct RouteExplanation
{
    Route route; // with the age of the question, if it names one
    Revision revision = 0;
    bool isWrite = false;
    RouteOutcome outcome = RouteOutcome::Refused;
    std::string reason;
    std::optional<ServerId> server;
    // The idle connection that it would use, 0 if it would open one or wait for one.
    std::uint64_t idleConnection = 0;
    ReaderExplanation readers;
    // Of a read; nothing if it would first request a proof.
    std::optional<ExplainedNeed> need;
    OperationCap cap; // of the question's workspace
};

using RouteAnswer = std::variant<RouteExplanation, QuestionFault>;

} // namespace nutmegtide
