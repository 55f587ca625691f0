#pragma once

namespace nutmegtide {

// Exit codes of the command line.
enum ExitCode {
    ExitOk = 0,
    ExitFailed = 1,
    ExitBadSettings = 2,
    ExitBadQuestion = 2, // wrong usage of `explain`
    ExitConflict = 3,
    ExitUnknownOutcome = 4,
    ExitUsage = 64,
};

// Runs the command that the arguments name and returns its exit code.
int runCommandLine(int argc, char **argv);

} // namespace nutmegtide
