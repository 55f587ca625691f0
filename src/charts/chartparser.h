#pragma once

#include "nutmegtide/charts/chart.h"

#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <utility>
#include <vector>

namespace nutmegtide {

// Parses one chart and collects every fault. Used once, by Chart::parse().
class ChartParser
{
public:
    ChartParser(const std::string &name, const ChartVocabulary &vocabulary);

    // Throws ChartError.
    Chart parse(std::string_view text);

private:
    void readRoot(const toml::table &root);
    void readStates(const toml::table &states);
    void readState(const std::string &name, const toml::table &table);
    void readTimeout(ChartState &state, const toml::table &table);
    void readTransitions(ChartState &state, const toml::array &rows);
    ChartTransition readTransition(const toml::table &row);
    std::vector<std::string> readActions(const toml::table &row);
    std::string readText(const toml::table &table, std::string_view key, bool isRequired);
    void checkKeys(const toml::table &table, const std::set<std::string_view> &known);

    void checkInitial();
    void checkState(const std::string &name, const ChartState &state);
    void checkDuplicates(const std::string &name, const ChartState &state);
    void checkTimeout(const std::string &name, const ChartState &state);
    void checkReachable();
    std::set<std::string> reachableStates() const;

    void addFault(int line, std::string problem);

    const ChartVocabulary &m_vocabulary;
    Chart m_chart;
    std::map<std::string, int> m_lines; // by state
    std::vector<ChartFault> m_faults;
};

} // namespace nutmegtide
