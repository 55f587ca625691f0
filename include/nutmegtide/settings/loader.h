#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/settings/fleetsettings.h"
#include "nutmegtide/settings/nodesettings.h"

#include <string>
#include <vector>

namespace nutmegtide {

// One thing that is wrong with a settings folder.
struct SettingsFault
{
    std::string file;
    int line = 0; // 0 where no line can be named
    std::string key; // dotted, empty for a fault of the whole file
    std::string problem;
};

// Writes "FILE:LINE: KEY: what is wrong".
std::string toString(const SettingsFault &fault);

// A settings folder that can't be taken; lists every fault, not only the first.
class SettingsError : public Error
{
public:
    explicit SettingsError(std::vector<SettingsFault> faults);

    const std::vector<SettingsFault> &faults() const { return m_faults; }

private:
    std::vector<SettingsFault> m_faults;
};

// The *.toml files of a folder merged in byte order of their names, as text
// that is itself one settings file.
struct MergedSettings
{
    std::string toml;
};

// All of these throw SettingsError.
MergedSettings mergeFolder(const std::string &folder);
// Checks a folder as a node's when it has a [node] or [listen] table, else as a fleet's.
MergedSettings checkFolder(const std::string &folder);
NodeSettings loadNodeSettings(const std::string &folder);
FleetSettings loadFleetSettings(const std::string &folder);
// Reads what mergeFolder() wrote, as it comes over the wire.
FleetSettings parseFleetSettings(const std::string &toml);

} // namespace nutmegtide
