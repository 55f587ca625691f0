#pragma once

#include "nutmegtide/charts/chart.h"

#include <map>
#include <string>

namespace nutmegtide {

// The vocabulary of each chart, by chart name.
using ChartVocabularies = std::map<std::string, ChartVocabulary>;

// Returns the actions and guards that the code of each embedded chart carries out.
const ChartVocabularies &standardVocabularies();

// All charts of the binary, checked. One library is made at start and lives as long as the process.
//
//   const ChartLibrary charts = ChartLibrary::embedded();
//   ChartInstance change(charts.chart("primary_change"));
class ChartLibrary
{
public:
    // Loads the charts that the build put into the binary. Throws ChartError with the faults of all.
    static ChartLibrary embedded();
    // `sources` holds the TOML text by chart name. Throws ChartError with the faults of all.
    ChartLibrary(const std::map<std::string, std::string> &sources,
                 const ChartVocabularies &vocabularies);

    // Throws ChartError for a name that isn't there.
    const Chart &chart(const std::string &name) const;
    const std::map<std::string, Chart> &charts() const { return m_charts; }

private:
    std::map<std::string, Chart> m_charts;
};

} // namespace nutmegtide
