#pragma once

#include "nutmegtide/charts/chart.h"

#include <map>
#include <string>

namespace nutmegtide {

// The vocabulary of each chart, by chart name.
using ChartVocabularies = std::map<std::string, ChartVocabulary>;

// Returns the actions and guards that the code implements for each embedded chart.
const ChartVocabularies &standardVocabularies();

// All charts of the binary, validated. It is created at start and lives as long as the process.
//
//   const ChartLibrary charts = ChartLibrary::embedded();
//   ChartInstance change(charts.chart("primary_change"));
class ChartLibrary
{
public:
    // Loads the charts embedded in the binary. Throws ChartError with the faults of all charts.
    static ChartLibrary embedded();
    // `sources` holds the TOML text by chart name. Throws ChartError with the faults of all charts.
    ChartLibrary(const std::map<std::string, std::string> &sources,
                 const ChartVocabularies &vocabularies);

    // Throws ChartError if there is no chart of that name.
    const Chart &chart(const std::string &name) const;
    const std::map<std::string, Chart> &charts() const { return m_charts; }

private:
    std::map<std::string, Chart> m_charts;
};

} // namespace nutmegtide
