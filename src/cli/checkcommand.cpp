#include "cli/commandline.h"
#include "cli/commands.h"
#include "nutmegtide/settings/loader.h"

#include <cstdio>

namespace nutmegtide {

int runCheck(const CheckOptions &options)
{
    const MergedSettings merged = checkFolder(options.config);
    if (options.print)
        std::fputs(merged.toml.c_str(), stdout);
    return ExitOk;
}

} // namespace nutmegtide
