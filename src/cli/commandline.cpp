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
    int operator()(const ExplainOptions &options) const { return runExplain(options); }
    int operator()(const TimelineOptions &options) const { return runTimeline(options); }
    int operator()(const DrainOptions &options) const { return runDrain(options); }
};

// `explain` has one status for all wrong usage, whether it is found here or at the listener.
int exitOfUsageError(const std::vector<std::string> &arguments)
{
    const bool isExplain = !arguments.empty() && arguments.front() == "explain";
    return isExplain ? ExitBadQuestion : ExitUsage;
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    try {
        return std::visit(Runner(), parseOptions(arguments));
    } catch (const UsageError &error) {
        std::fprintf(stderr, "nutmegtide: %s\n%s", error.what(), usage().c_str());
        return exitOfUsageError(arguments);
    } catch (const SettingsError &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return ExitBadSettings;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "nutmegtide: %s\n", error.what());
        return ExitFailed;
    }
}

} // namespace nutmegtide
