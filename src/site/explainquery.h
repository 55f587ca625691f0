#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/proxy/routeexplanation.h"

#include <string>

namespace nutmegtide {

// A parameter of a query that is missing, unknown, repeated or has a value that can't be taken.
class QueryParameterError : public Error
{
public:
    QueryParameterError(std::string parameter, const std::string &problem)
        : Error(parameter + ": " + problem)
        , m_parameter(std::move(parameter))
    { }

    const std::string &parameter() const { return m_parameter; }

private:
    std::string m_parameter;
};

// Reads the query of a request for an explanation, as in "database=casks&access=read". Throws
// QueryParameterError.
RouteQuestion readExplainQuery(const std::string &query);

} // namespace nutmegtide
