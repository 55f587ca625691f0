#pragma once

#include <string>
#include <vector>

namespace nutmegtide {

// One chart file as it was when the binary was built.
struct EmbeddedChart
{
    std::string name; // file name without its ending
    std::string toml; // whole text of the file
};

// Lists the charts of the charts/ folder. The build generates the definition.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace nutmegtide
