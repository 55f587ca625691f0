#include "cli/commandline.h"

#include <cstdio>

namespace nutmegtide {

int runCommandLine(int argc, char **argv)
{
    if (argc < 2) {
        std::fprintf(stderr, "usage: %s COMMAND\n", argv[0]);
        return ExitUsage;
    }
    return ExitUsage;
}

} // namespace nutmegtide
