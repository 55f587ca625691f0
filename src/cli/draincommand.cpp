#include "cli/commandline.h"
#include "cli/commands.h"
#include "cli/operatorclient.h"

namespace nutmegtide {

int runDrain(const DrainOptions &options)
{
    checkSuccess(OperatorClient(options.at).post("/v1/drain", "{}"));
    return ExitOk;
}

} // namespace nutmegtide
