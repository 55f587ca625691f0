#include "cli/commandline.h"
#include "cli/commands.h"
#include "serve/plainhttpclient.h"

namespace nutmegtide {

int runDrain(const DrainOptions &options)
{
    checkSuccess(PlainHttpClient(options.at).post("/v1/drain", "{}"));
    return ExitOk;
}

} // namespace nutmegtide
