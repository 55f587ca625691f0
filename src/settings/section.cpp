#include "settings/section.h"

#include "settings/quantity.h"

#include <algorithm>
#include <sstream>

namespace nutmegtide {

namespace {

constexpr std::size_t LongestName = 64; // bytes

// A word of the settings and what it stands for.
template <typename Value>
struct WordRow
{
    std::string_view word;
    Value value;
};

constexpr WordRow<NodeRole> Roles[] = {{"proxy", NodeRole::Proxy},
                                       {"entry", NodeRole::Entry},
                                       {"control", NodeRole::Control}};

constexpr WordRow<LogLevel> Levels[] = {{"info", LogLevel::Info},
                                        {"warning", LogLevel::Warning},
                                        {"error", LogLevel::Error}};

template <typename Value>
Value valueOf(const toml::node &node, const char *expected)
{
    if (const std::optional<Value> value = node.value_exact<Value>())
        return *value;
    std::ostringstream problem;
    problem << "wrong type: expected " << expected << ", found " << node.type();
    throw ValueError(problem.str());
}

// `kind` says in a fault what the words are.
template <typename Value, std::size_t Count>
Value wordOf(const toml::node &node, const WordRow<Value> (&rows)[Count], const std::string &kind)
{
    const std::string text = valueOf<std::string>(node, "a string");
    std::string words;
    for (const WordRow<Value> &row : rows) {
        if (row.word == text)
            return row.value;
        words += (words.empty() ? "" : ", ") + std::string(row.word);
    }
    throw ValueError("unknown " + kind + " \"" + text + "\"; use one of " + words);
}

template <typename Number>
void checkRange(Number value, const Range &range, const char *unit)
{
    const auto number = static_cast<double>(value);
    if (number >= range.low && number <= range.high)
        return;
    std::ostringstream problem;
    problem.precision(15);
    problem << value << unit << " is out of range: " << range.low << unit << " to " << range.high
            << unit;
    throw ValueError(problem.str());
}

// A bare number has no unit, which is a fault of its own.
std::string quantityText(const toml::node &node, const char *expected)
{
    if (node.is_number())
        throw ValueError(std::string("missing unit: expected ") + expected);
    return valueOf<std::string>(node, expected);
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_';
}

std::string nameOf(const toml::node &node)
{
    std::string text = valueOf<std::string>(node, "a string");
    const bool isValid = !text.empty() && text.size() <= LongestName
            && std::all_of(text.begin(), text.end(),
                           [](char c) { return isNameCharacter(c) || c == '.'; });
    if (!isValid) {
        throw ValueError('"' + text
                         + "\" is no name: expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return text;
}

template <typename Value>
void readList(const toml::node &node, std::vector<Value> &into)
{
    const toml::array *list = node.as_array();
    if (list == nullptr)
        throw ValueError("wrong type: expected a list of strings");
    std::vector<Value> values;
    for (const toml::node &item : *list) {
        Value value;
        readValue(item, {}, value);
        if (std::find(values.begin(), values.end(), value) != values.end()) {
            std::ostringstream problem;
            problem << '"' << value << "\" stands twice in the list";
            throw ValueError(problem.str());
        }
        values.push_back(value);
    }
    into = values;
}

} // namespace

void readValue(const toml::node &node, const Range &range, int &into)
{
    const auto value = valueOf<std::int64_t>(node, "an integer");
    checkRange(value, range, "");
    into = static_cast<int>(value);
}

void readValue(const toml::node &node, const Range & /*range*/, bool &into)
{
    into = valueOf<bool>(node, "true or false");
}

void readValue(const toml::node &node, const Range &range, double &into)
{
    const bool isInteger = node.is_integer();
    const double value = isInteger ? static_cast<double>(valueOf<std::int64_t>(node, ""))
                                   : valueOf<double>(node, "a number");
    checkRange(value, range, "");
    into = value;
}

void readValue(const toml::node &node, const Range &range, std::uint64_t &into)
{
    const std::string text = quantityText(node, "a size such as \"64MiB\"");
    try {
        const std::uint64_t value = parseSize(text);
        checkRange(value, range, "B");
        into = value;
    } catch (const QuantityError &error) {
        throw ValueError(error.what());
    }
}

void readValue(const toml::node &node, const Range & /*range*/, std::string &into)
{
    into = valueOf<std::string>(node, "a string");
}

void readValue(const toml::node &node, const Range &range, std::chrono::milliseconds &into)
{
    const std::string text = quantityText(node, "a duration such as \"250ms\"");
    try {
        const std::chrono::milliseconds value = parseDuration(text);
        checkRange(value.count(), range, "ms");
        into = value;
    } catch (const QuantityError &error) {
        throw ValueError(error.what());
    }
}

void readValue(const toml::node &node, const Range & /*range*/, VmName &into)
{
    into = VmName(nameOf(node));
}

void readValue(const toml::node &node, const Range & /*range*/, FailureDomain &into)
{
    into = FailureDomain(nameOf(node));
}

void readValue(const toml::node &node, const Range & /*range*/, FleetId &into)
{
    into = FleetId(nameOf(node));
}

void readValue(const toml::node &node, const Range & /*range*/, LogLevel &into)
{
    into = wordOf(node, Levels, "level");
}

void readValue(const toml::node &node, const Range & /*range*/, NodeRole &into)
{
    into = wordOf(node, Roles, "role");
}

void readValue(const toml::node &node, const Range & /*range*/, Endpoint &into)
{
    try {
        into = parseEndpoint(valueOf<std::string>(node, "a string \"IP:PORT\""));
    } catch (const EndpointError &error) {
        throw ValueError(error.what());
    }
}

void readValue(const toml::node &node, const Range &range, std::optional<Endpoint> &into)
{
    Endpoint endpoint;
    readValue(node, range, endpoint);
    into = endpoint;
}

void readValue(const toml::node &node, const Range & /*range*/, std::vector<Endpoint> &into)
{
    readList(node, into);
}

void readValue(const toml::node &node, const Range & /*range*/, std::vector<VmName> &into)
{
    readList(node, into);
}

bool isDatabaseName(std::string_view text)
{
    return !text.empty() && text.size() <= LongestName
            && std::all_of(text.begin(), text.end(), isNameCharacter);
}

void SectionReader::checkUnknown(const toml::table &table, const std::string &prefix,
                                 std::span<const std::string_view> known)
{
    for (auto &&[key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) != known.end())
            continue;
        const char *kind = node.is_table() ? "unknown table" : "unknown key";
        reportAt(node, prefix + std::string(key.str()), kind);
    }
}

const toml::table *SectionReader::tableAt(const toml::node &node, const std::string &name)
{
    const toml::table *table = node.as_table();
    if (table == nullptr)
        reportAt(node, name, "wrong type: expected a table");
    return table;
}

void SectionReader::report(const std::string &key, const std::string &problem)
{
    const toml::node_view<toml::node> place = m_merged.tables.at_path(key);
    if (place) {
        reportAt(*place.node(), key, problem);
    } else {
        m_merged.faults.push_back({m_merged.origin, 0, key, problem});
    }
}

void SectionReader::reportAt(const toml::node &node, const std::string &key,
                             const std::string &problem)
{
    m_merged.faults.push_back(faultAt(node, key, problem));
}

void SectionReader::checkMissing(bool isRequired, const std::string &key, const toml::table *table)
{
    if (!isRequired || !m_merged.isComplete)
        return;
    if (table != nullptr) {
        reportAt(*table, key, "missing key");
    } else {
        m_merged.faults.push_back({m_merged.origin, 0, key, "missing key"});
    }
}

} // namespace nutmegtide
