#pragma once

#include <string>
#include <vector>

namespace nutmegtide {

// A chart file as it was when the binary was built.
struct EmbeddedChart
{
    std::string name; // file name without extension
    std::string toml; // contents of the file
};

// Returns the charts of the charts/ folder. The build generates the definition.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace nutmegtide
