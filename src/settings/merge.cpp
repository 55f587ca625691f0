#include "settings/merge.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace nutmegtide {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view RetireKey = "retire";

std::vector<std::string> settingsFiles(const std::string &folder, MergedTables &merged)
{
    std::vector<std::string> files;
    std::error_code failure;
    // One file may stand for a folder, whatever its name ends in.
    if (fs::is_regular_file(folder, failure))
        return {folder};
    fs::directory_iterator entry(folder, failure);
    for (; !failure && entry != fs::directory_iterator(); entry.increment(failure)) {
        if (entry->path().extension() == ".toml")
            files.push_back(entry->path().string());
    }
    if (failure) {
        merged.faults.push_back({folder, 0, "", "can't read the folder: " + failure.message()});
    } else if (files.empty()) {
        merged.faults.push_back({folder, 0, "", "no *.toml file in the folder"});
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::optional<std::string> contentOf(const std::string &file)
{
    std::error_code failure;
    if (!fs::is_regular_file(file, failure))
        return std::nullopt;
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::string content((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (in.bad())
        return std::nullopt;
    return content;
}

std::optional<toml::table> parseFile(const std::string &content, const std::string &file,
                                     MergedTables &merged)
{
    try {
        return toml::parse(content, file);
    } catch (const toml::parse_error &error) {
        const int line = static_cast<int>(error.source().begin.line);
        merged.faults.push_back({file, line, "", std::string(error.description())});
    }
    merged.isComplete = false;
    return std::nullopt;
}

// Moves instead of copying, since only a moved node keeps its file and line.
void mergeTable(toml::table &into, toml::table &&from)
{
    for (auto &&[key, node] : from) {
        toml::node *old = into.get(key.str());
        if (old != nullptr && old->is_table() && node.is_table()) {
            mergeTable(*old->as_table(), std::move(*node.as_table()));
            continue;
        }
        const std::string name(key.str());
        node.visit([&](auto &value) { into.insert_or_assign(name, std::move(value)); });
    }
}

bool removePath(toml::table &tables, const std::string &path)
{
    const std::size_t dot = path.find('.');
    if (dot == std::string::npos)
        return tables.erase(path) == 1;
    toml::table *inner = tables[path.substr(0, dot)].as_table();
    return inner != nullptr && removePath(*inner, path.substr(dot + 1));
}

void retirePath(const toml::node &node, MergedTables &merged)
{
    const std::optional<std::string> path = node.value_exact<std::string>();
    if (!path) {
        merged.faults.push_back(
                faultAt(node, std::string(RetireKey), "wrong type: expected a string"));
        return;
    }
    if (!removePath(merged.tables, *path) && merged.isComplete) {
        merged.faults.push_back(faultAt(node, std::string(RetireKey),
                                        '"' + *path + "\" is not set by an earlier file"));
    }
}

// Takes the list of retired paths out of a file and applies it to the files before it.
void applyRetired(toml::table &file, MergedTables &merged)
{
    const toml::node *list = file.get(RetireKey);
    if (list == nullptr)
        return;
    if (const toml::array *paths = list->as_array()) {
        for (const toml::node &path : *paths)
            retirePath(path, merged);
    } else {
        merged.faults.push_back(
                faultAt(*list, std::string(RetireKey), "wrong type: expected a list of strings"));
    }
    file.erase(RetireKey);
}

void mergeContent(const std::string &content, const std::string &name, MergedTables &merged)
{
    std::optional<toml::table> file = parseFile(content, name, merged);
    if (!file)
        return;
    applyRetired(*file, merged);
    mergeTable(merged.tables, std::move(*file));
}

} // namespace

MergedTables mergeFiles(const std::string &folder)
{
    MergedTables merged;
    merged.origin = folder;
    for (const std::string &file : settingsFiles(folder, merged)) {
        if (const std::optional<std::string> content = contentOf(file)) {
            mergeContent(*content, file, merged);
            continue;
        }
        merged.faults.push_back({file, 0, "", "can't read the file"});
        merged.isComplete = false;
    }
    if (!merged.faults.empty() && merged.tables.empty())
        merged.isComplete = false;
    return merged;
}

MergedTables readText(const std::string &toml, const std::string &name)
{
    MergedTables merged;
    merged.origin = name;
    mergeContent(toml, name, merged);
    return merged;
}

SettingsFault faultAt(const toml::node &node, const std::string &key, const std::string &problem)
{
    const toml::source_region &source = node.source();
    const std::string file = source.path ? *source.path : std::string();
    return {file, static_cast<int>(source.begin.line), key, problem};
}

} // namespace nutmegtide
