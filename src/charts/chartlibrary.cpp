#include "nutmegtide/charts/chartlibrary.h"

#include "charts/embedded.h"

namespace nutmegtide {

ChartLibrary ChartLibrary::embedded()
{
    std::map<std::string, std::string> sources;
    for (const EmbeddedChart &chart : embeddedCharts())
        sources.emplace(chart.name, chart.toml);
    return ChartLibrary(sources, standardVocabularies());
}

ChartLibrary::ChartLibrary(const std::map<std::string, std::string> &sources,
                           const ChartVocabularies &vocabularies)
{
    std::vector<ChartFault> faults;
    for (const auto &[name, vocabulary] : vocabularies) {
        if (!sources.contains(name))
            faults.push_back({name, 0, "the chart is missing"});
    }
    for (const auto &[name, toml] : sources) {
        const auto vocabulary = vocabularies.find(name);
        if (vocabulary == vocabularies.end()) {
            faults.push_back({name, 0, "no code runs this chart"});
            continue;
        }
        try {
            m_charts.emplace(name, Chart::parse(name, toml, vocabulary->second));
        } catch (const ChartError &error) {
            faults.insert(faults.end(), error.faults().begin(), error.faults().end());
        }
    }
    if (!faults.empty())
        throw ChartError(faults);
}

const Chart &ChartLibrary::chart(const std::string &name) const
{
    const auto found = m_charts.find(name);
    if (found == m_charts.end())
        throw ChartError({{name, 0, "the chart is missing"}});
    return found->second;
}

} // namespace nutmegtide
