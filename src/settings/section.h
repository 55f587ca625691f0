#pragma once

#include "settings/merge.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtide {

// The smallest and largest value of a key: milliseconds for a duration, bytes
// for a size, else the number itself.
struct Range
{
    double low = 0;
    double high = std::numeric_limits<double>::max();
};

// A member of a settings struct; its type decides which values the key takes.
// A std::uint64_t is a size in bytes.
template <typename Section>
using Member =
        std::variant<int Section::*, bool Section::*, double Section::*, std::uint64_t Section::*,
                     std::string Section::*, std::chrono::milliseconds Section::*, VmName Section::*,
                     FailureDomain Section::*, FleetId Section::*, LogLevel Section::*,
                     NodeRole Section::*, Endpoint Section::*, std::optional<Endpoint> Section::*,
                     std::vector<Endpoint> Section::*, std::vector<VmName> Section::*>;

// One key of a table.
template <typename Section>
struct KeyRow
{
    const char *key;
    Member<Section> member;
    Range range = {};
    bool isRequired = false;
};

// A value that its key can't take; SectionReader turns it into a fault.
class ValueError : public Error
{
public:
    using Error::Error;
};

// Each reads one value, or throws ValueError.
void readValue(const toml::node &node, const Range &range, int &into);
void readValue(const toml::node &node, const Range &range, bool &into);
void readValue(const toml::node &node, const Range &range, double &into);
void readValue(const toml::node &node, const Range &range, std::uint64_t &into);
void readValue(const toml::node &node, const Range &range, std::string &into);
void readValue(const toml::node &node, const Range &range, std::chrono::milliseconds &into);
void readValue(const toml::node &node, const Range &range, VmName &into);
void readValue(const toml::node &node, const Range &range, FailureDomain &into);
void readValue(const toml::node &node, const Range &range, FleetId &into);
void readValue(const toml::node &node, const Range &range, LogLevel &into);
void readValue(const toml::node &node, const Range &range, NodeRole &into);
void readValue(const toml::node &node, const Range &range, Endpoint &into);
void readValue(const toml::node &node, const Range &range, std::optional<Endpoint> &into);
void readValue(const toml::node &node, const Range &range, std::vector<Endpoint> &into);
void readValue(const toml::node &node, const Range &range, std::vector<VmName> &into);

// Says whether text can name a database: letters, digits, '-' and '_', at most 64.
bool isDatabaseName(std::string_view text);

// Reads tables by the rows of their keys and collects every fault.
//
//   SectionReader reader(merged);
//   reader.readTable("reads", ReadRows, settings.reads);
class SectionReader
{
public:
    explicit SectionReader(MergedTables &merged)
        : m_merged(merged)
    { }

    // Reads a top-level table; an absent one keeps its defaults, but for required keys.
    template <typename Section>
    void readTable(const std::string &name, std::span<const KeyRow<Section>> rows, Section &section)
    {
        const toml::node *node = m_merged.tables.get(name);
        if (node == nullptr) {
            for (const KeyRow<Section> &row : rows)
                checkMissing(row.isRequired, name + '.' + row.key, nullptr);
            return;
        }
        readKeys(*node, name, rows, section);
    }

    // Reads one table that `node` must be; `name` is its dotted key.
    template <typename Section>
    void readKeys(const toml::node &node, const std::string &name,
                  std::span<const KeyRow<Section>> rows, Section &section)
    {
        const toml::table *table = tableAt(node, name);
        if (table == nullptr)
            return;
        std::vector<std::string_view> known;
        for (const KeyRow<Section> &row : rows) {
            known.emplace_back(row.key);
            readKey(*table, name, row, section);
        }
        checkUnknown(*table, name + '.', known);
    }

    // Reports each key of a table that is not known; `prefix` is the table's name with a dot.
    void checkUnknown(const toml::table &table, const std::string &prefix,
                      std::span<const std::string_view> known);
    // Returns the table, or nothing after reporting that the node is none.
    const toml::table *tableAt(const toml::node &node, const std::string &name);
    // Reports a fault of a key that may stand in the files; else the folder is named.
    void report(const std::string &key, const std::string &problem);
    void reportAt(const toml::node &node, const std::string &key, const std::string &problem);

private:
    template <typename Section>
    void readKey(const toml::table &table, const std::string &name, const KeyRow<Section> &row,
                 Section &section)
    {
        const std::string key = name + '.' + row.key;
        const toml::node *node = table.get(row.key);
        if (node == nullptr) {
            checkMissing(row.isRequired, key, &table);
            return;
        }
        try {
            std::visit([&](auto member) { readValue(*node, row.range, section.*member); },
                       row.member);
        } catch (const ValueError &error) {
            reportAt(*node, key, error.what());
        }
    }

    void checkMissing(bool isRequired, const std::string &key, const toml::table *table);

    MergedTables &m_merged;
};

} // namespace nutmegtide
