#pragma once

#include "nutmegtide/settings/loader.h"

#include <string>
#include <toml++/toml.h>
#include <vector>

namespace nutmegtide {

// The tables of several files as one. Every node keeps the file and line it came from.
struct MergedTables
{
    toml::table tables;
    std::vector<SettingsFault> faults;
    std::string origin; // the folder, or the name of a single text
    bool isComplete = true; // false when a file couldn't be taken, so that keys may be missing
};

// Reads and merges the *.toml files of a folder, or reads one file; faults are collected, not thrown.
MergedTables mergeFiles(const std::string &folder);

// Reads one text; `name` stands for the file in its faults.
MergedTables readText(const std::string &toml, const std::string &name);

// Says where a node stands: a fault with its file, line and key.
SettingsFault faultAt(const toml::node &node, const std::string &key, const std::string &problem);

} // namespace nutmegtide
