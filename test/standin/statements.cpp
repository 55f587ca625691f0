#include "statements.h"

#include "errors.h"

#include <array>

namespace nutmegtide::standin {

namespace {

constexpr int UnprocessableStatus = 422;

[[noreturn]] void reject(const std::string &message)
{
    throw RefusalError(UnprocessableStatus, "rejected", message);
}

std::int64_t asNumber(const Json &value, const std::string &key)
{
    if (value.is_null())
        return 0;
    if (!value.is_number_integer())
        reject("the value of " + key + " is not an integer");
    return value.get<std::int64_t>();
}

std::int64_t sum(std::int64_t left, std::int64_t right)
{
    std::int64_t result = 0;
    if (__builtin_add_overflow(left, right, &result))
        reject("the sum is out of range");
    return result;
}

std::int64_t addTo(TableView &view, const std::string &key, std::int64_t amount)
{
    const std::int64_t result = sum(asNumber(view.value(key), key), amount);
    view.setValue(key, result);
    return result;
}

std::string text(const Json &parameters, const char *name)
{
    return parameters.at(name).get<std::string>();
}

std::int64_t amountOf(const Json &parameters)
{
    if (!parameters.at("amount").is_number_integer())
        reject("amount is not an integer");
    return parameters.at("amount").get<std::int64_t>();
}

Json runPut(const Json &parameters, TableView &view)
{
    view.setValue(text(parameters, "key"), parameters.at("value"));
    return Json::object();
}

Json runGet(const Json &parameters, TableView &view)
{
    return {{"value", view.value(text(parameters, "key"))}};
}

Json runAdd(const Json &parameters, TableView &view)
{
    return {{"value", addTo(view, text(parameters, "key"), amountOf(parameters))}};
}

Json runTransfer(const Json &parameters, TableView &view)
{
    const std::int64_t amount = amountOf(parameters);
    if (amount < 0)
        reject("amount is negative");
    const std::int64_t from = addTo(view, text(parameters, "from"), -amount);
    const std::int64_t to = addTo(view, text(parameters, "to"), amount);
    return {{"from", from}, {"to", to}};
}

Json runList(const Json &parameters, TableView &view)
{
    return {{"values", view.list(text(parameters, "prefix"))}};
}

// The handler has slept before, outside the lock of the state.
Json runSleep(const Json &, TableView &)
{
    return Json::object();
}

struct StatementRow
{
    const char *name;
    bool isWrite;
    Json (*run)(const Json &parameters, TableView &view);
};

constexpr std::array<StatementRow, 6> StatementRows = {{
        {"put", true, runPut},
        {"get", false, runGet},
        {"add", true, runAdd},
        {"transfer", true, runTransfer},
        {"list", false, runList},
        {"sleep", false, runSleep},
}};

} // namespace

Json TableView::value(const std::string &key)
{
    if (const auto changed = m_changes.find(key); changed != m_changes.end())
        return changed->second;
    const auto found = m_table.find(key);
    Json value = found == m_table.end() ? Json() : found->second;
    m_reads.emplace(key, value);
    return value;
}

Json TableView::list(const std::string &prefix)
{
    const auto hasPrefix = [&prefix](const std::string &key) { return key.starts_with(prefix); };
    Json values = Json::object();
    for (auto row = m_table.lower_bound(prefix); row != m_table.end() && hasPrefix(row->first);
         ++row)
        values[row->first] = value(row->first);
    for (auto row = m_changes.lower_bound(prefix); row != m_changes.end() && hasPrefix(row->first);
         ++row)
        values[row->first] = row->second;
    return values;
}

bool isWriteStatement(const std::string &statement)
{
    for (const StatementRow &row : StatementRows) {
        if (row.name == statement)
            return row.isWrite;
    }
    return false;
}

Json runStatement(const std::string &statement, const Json &parameters, TableView &view)
{
    for (const StatementRow &row : StatementRows) {
        if (row.name != statement)
            continue;
        try {
            return row.run(parameters, view);
        } catch (const Json::exception &fault) {
            reject(statement + ": " + fault.what());
        }
    }
    reject("no such statement: " + statement);
}

} // namespace nutmegtide::standin
