#pragma once

#include "nutmegtide/proxy/routeexplanation.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace nutmegtide {

// An explanation as an entry VM gives it.
struct SiteExplanation
{
    std::string vm;
    RouteExplanation route;
    WorkspaceName workspace; // of the question
    std::string home; // address of the home that the request would go through; empty if none
};

// Returns the answer of GET /v1/explain.
nlohmann::json toJson(const SiteExplanation &explanation);

} // namespace nutmegtide
