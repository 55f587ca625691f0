#include "nutmegtide/settings/loader.h"

#include "settings/merge.h"
#include "settings/schema.h"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace nutmegtide {

namespace {

constexpr const char *WireName = "settings"; // stands for the file of text from the wire

std::string joinFaults(const std::vector<SettingsFault> &faults)
{
    std::string text;
    for (const SettingsFault &fault : faults) {
        text += text.empty() ? "" : "\n";
        text += toString(fault);
    }
    return text;
}

void throwFaults(std::vector<SettingsFault> &faults)
{
    if (faults.empty())
        return;
    std::stable_sort(faults.begin(), faults.end(),
                     [](const SettingsFault &left, const SettingsFault &right) {
                         return std::tie(left.file, left.line) < std::tie(right.file, right.line);
                     });
    throw SettingsError(faults);
}

MergedSettings textOf(const MergedTables &merged)
{
    std::ostringstream text;
    text << toml::toml_formatter(merged.tables) << '\n';
    return {text.str()};
}

} // namespace

std::string toString(const SettingsFault &fault)
{
    std::string text = fault.file + ':' + std::to_string(fault.line) + ": ";
    if (!fault.key.empty())
        text += fault.key + ": ";
    return text + fault.problem;
}

SettingsError::SettingsError(std::vector<SettingsFault> faults)
    : Error(joinFaults(faults))
    , m_faults(std::move(faults))
{ }

MergedSettings mergeFolder(const std::string &folder)
{
    MergedTables merged = mergeFiles(folder);
    throwFaults(merged.faults);
    return textOf(merged);
}

MergedSettings checkFolder(const std::string &folder)
{
    MergedTables merged = mergeFiles(folder);
    if (merged.tables.contains("node") || merged.tables.contains("listen")) {
        readNodeTables(merged);
    } else {
        readFleetTables(merged);
    }
    throwFaults(merged.faults);
    return textOf(merged);
}

NodeSettings loadNodeSettings(const std::string &folder)
{
    MergedTables merged = mergeFiles(folder);
    NodeSettings settings = readNodeTables(merged);
    throwFaults(merged.faults);
    return settings;
}

FleetSettings loadFleetSettings(const std::string &folder)
{
    MergedTables merged = mergeFiles(folder);
    FleetSettings settings = readFleetTables(merged);
    throwFaults(merged.faults);
    return settings;
}

FleetSettings parseFleetSettings(const std::string &toml)
{
    MergedTables merged = readText(toml, WireName);
    FleetSettings settings = readFleetTables(merged);
    throwFaults(merged.faults);
    return settings;
}

} // namespace nutmegtide
