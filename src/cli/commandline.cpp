#include "cli/commandline.h"

#include "cli/commands.h"
#include "nutmegtide/settings/loader.h"

#include <cstdio>

namespace nutmegtide {

namespace {

// Sends each kind of options to the function that runs it.
struct Runner
{
    int operator()(const HelpOptions & /*options*/) const
    {
        std::fputs(usage().c_str(), stdout);
        return ExitOk;
    }
    int operator()(const VersionOptions & /*options*/) const
    {
        std::puts("nutmegtide " NUTMEGTIDE_VERSION);
        return ExitOk;
    }
    int operator()(const ServeOptions &options) const { return runServe(options); }
    int operator()(const CheckOptions &options) const { return runCheck(options); }
    int operator()(const ApplyOptions &options) const { return runApply(options); }
    int operator()(const StatusOptions &options) const { return runStatus(options); }
    int operator()(const TimelineOptions &options) const { return runTimeline(options); }
    int operator()(const DrainOptions &options) const { return runDrain(options); }
};

} // namespace

int runCommandLine(int argc, char **argv)
{
    try {
        const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
        return std::visit(Runner(), parseOptions(arguments));
    } catch (const UsageError &error) {
        std::fprintf(stderr, "nutmegtide: %s\n%s", error.what(), usage().c_str());
        return ExitUsage;
    } catch (const SettingsError &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return ExitBadSettings;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "nutmegtide: %s\n", error.what());
        return ExitFailed;
    }
}

} // namespace nutmegtide
