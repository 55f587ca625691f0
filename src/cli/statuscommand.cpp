#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/operatorclient.h"

#include <cstdio>

namespace nutmegtide {

namespace {

// Writes one "path.to.key: value" line for each value, however the status is laid out.
void printLines(const nlohmann::json &json, const std::string &path)
{
    if (!json.is_structured() || json.empty()) {
        const std::string value = json.is_string() ? json.get<std::string>() : json.dump();
        std::printf("%s: %s\n", path.c_str(), value.c_str());
        return;
    }
    for (const auto &[key, value] : json.items())
        printLines(value, path.empty() ? key : path + '.' + key);
}

} // namespace

int runStatus(const StatusOptions &options)
{
    const OperatorAnswer answer = OperatorClient(options.at).get("/v1/status");
    const nlohmann::json json = jsonOf(answer);
    if (options.json) {
        std::printf("%s\n", answer.body.c_str());
    } else {
        printLines(json, "");
    }
    return ExitOk;
}

} // namespace nutmegtide
