#include "site/explainquery.h"

#include <algorithm>
#include <charconv>
#include <civetweb.h>
#include <map>

namespace nutmegtide {

namespace {

constexpr int LargestAge = 3'600'000; // milliseconds

std::string decode(const std::string &encoded, const std::string &parameter)
{
    std::string decoded(encoded.size() + 1, '\0');
    const int length = mg_url_decode(encoded.data(), static_cast<int>(encoded.size()),
                                     decoded.data(), static_cast<int>(decoded.size()), 1);
    if (length < 0)
        throw QueryParameterError(parameter, "the value can't be decoded");
    decoded.resize(static_cast<std::size_t>(length));
    return decoded;
}

void takeDatabase(const std::string &value, RouteQuestion &question)
{
    question.database = DatabaseName(value);
}

void takeWorkspace(const std::string &value, RouteQuestion &question)
{
    question.workspace = WorkspaceName(value);
}

void takeAccess(const std::string &value, RouteQuestion &question)
{
    if (value != "read" && value != "write")
        throw QueryParameterError("access", "neither read nor write");
    question.isWrite = value == "write";
}

void takeAge(const std::string &value, RouteQuestion &question)
{
    int age = 0;
    const char *end = value.data() + value.size();
    const auto [stop, fault] = std::from_chars(value.data(), end, age);
    if (fault != std::errc() || stop != end || age < 0 || age > LargestAge)
        throw QueryParameterError("age", "not a whole number from 0 to 3600000");
    question.largestAge = std::chrono::milliseconds(age);
}

using Take = void (*)(const std::string &, RouteQuestion &);

const std::map<std::string, Take> Parameters = {
        {"database", takeDatabase},
        {"workspace", takeWorkspace},
        {"access", takeAccess},
        {"age", takeAge},
};

// Splits the query into decoded values by name.
std::map<std::string, std::string> splitQuery(const std::string &query)
{
    std::map<std::string, std::string> values;
    for (std::size_t start = 0; start < query.size();) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string item = query.substr(start, end - start);
        start = end + 1;
        const std::size_t equals = std::min(item.find('='), item.size());
        const std::string name = decode(item.substr(0, equals), "query");
        if (Parameters.count(name) == 0)
            throw QueryParameterError(name, "unknown parameter");
        const std::string value = decode(item.substr(std::min(equals + 1, item.size())), name);
        if (value.empty())
            throw QueryParameterError(name, "empty value");
        if (!values.emplace(name, value).second)
            throw QueryParameterError(name, "repeated parameter");
    }
    return values;
}

} // namespace

RouteQuestion readExplainQuery(const std::string &query)
{
    RouteQuestion question;
    for (const auto &[name, value] : splitQuery(query))
        Parameters.at(name)(value, question);
    if (question.database.isEmpty())
        throw QueryParameterError("database", "missing parameter");
    return question;
}

} // namespace nutmegtide
