#include "cli/commands.h"
#include "nutmegtide/settings/loader.h"
#include "serve/serve.h"

namespace nutmegtide {

int runServe(const ServeOptions &options)
{
    return serve(loadNodeSettings(options.config), options.config);
}

} // namespace nutmegtide
