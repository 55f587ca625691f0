#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/operatorclient.h"

#include <cstdio>

namespace nutmegtide {

int runTimeline(const TimelineOptions &options)
{
    if (!options.html.empty())
        throw Error("--html is not built yet");
    int code = ExitOk;
    nlohmann::json processes = nlohmann::json::array();
    for (const Endpoint &at : options.at) {
        try {
            processes.push_back(jsonOf(OperatorClient(at).get("/v1/events")));
        } catch (const Error &error) {
            std::fprintf(stderr, "unreachable: %s: %s\n", toString(at).c_str(), error.what());
            code = ExitFailed;
        }
    }
    std::printf("%s\n", processes.dump(2).c_str());
    return code;
}

} // namespace nutmegtide
