#include "cli/commandline.h"

int main(int argc, char **argv)
{
    return nutmegtide::runCommandLine(argc, argv);
}
