#include "cli/options.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <span>
#include <sstream>

namespace nutmegtide {

namespace {

constexpr const char *Program = "nutmegtide";

// The flags of all commands as they were given.
struct GivenFlags
{
    std::string config;
    std::string at;
    std::string base;
    std::string changeId;
    std::string html;
    std::string workspace;
    std::string access;
    std::string age;
    std::string word; // the argument that isn't a flag
    bool print = false;
    bool json = false;
    bool help = false;
};

struct Flag
{
    const char *name;
    std::variant<std::string GivenFlags::*, bool GivenFlags::*> member;
    const char *argument; // what usage() calls its value; null for a switch
    bool isRequired = false;
};

constexpr bool IsRequired = true;
const Flag ConfigFlag = {"config", &GivenFlags::config, "DIR", IsRequired};
const Flag AtFlag = {"at", &GivenFlags::at, "HOST:PORT", IsRequired};
const Flag JsonFlag = {"json", &GivenFlags::json, nullptr};
const Flag HelpFlag = {"help", &GivenFlags::help, nullptr};

const Flag ServeFlags[] = {ConfigFlag};
const Flag CheckFlags[] = {ConfigFlag, {"print", &GivenFlags::print, nullptr}};
const Flag ApplyFlags[] = {ConfigFlag,
                           AtFlag,
                           {"base", &GivenFlags::base, "REVISION"},
                           {"change-id", &GivenFlags::changeId, "ID"}};
const Flag StatusFlags[] = {AtFlag, JsonFlag};
const Flag ExplainFlags[] = {AtFlag,
                             {"workspace", &GivenFlags::workspace, "NAME"},
                             {"access", &GivenFlags::access, "read|write"},
                             {"age", &GivenFlags::age, "MS"},
                             JsonFlag};
const Flag TimelineFlags[] = {{"at", &GivenFlags::at, "HOST:PORT[,...]", IsRequired},
                              {"html", &GivenFlags::html, "FILE"},
                              JsonFlag};
const Flag DrainFlags[] = {AtFlag};

Endpoint readEndpoint(const std::string &text)
{
    try {
        return parseEndpoint(text);
    } catch (const EndpointError &error) {
        throw UsageError(std::string("--at: ") + error.what());
    }
}

std::vector<Endpoint> readEndpoints(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    std::size_t start = 0;
    while (true) {
        const std::size_t comma = text.find(',', start);
        endpoints.push_back(readEndpoint(text.substr(start, comma - start)));
        if (comma == std::string::npos)
            return endpoints;
        start = comma + 1;
    }
}

std::optional<Revision> readRevision(const std::string &text)
{
    if (text.empty())
        return std::nullopt;
    Revision revision = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, revision);
    if (fault != std::errc() || stop != end)
        throw UsageError("--base: no revision number in \"" + text + "\"");
    return revision;
}

Options readServe(const GivenFlags &given)
{
    return ServeOptions {given.config};
}

Options readCheck(const GivenFlags &given)
{
    return CheckOptions {given.config, given.print};
}

Options readApply(const GivenFlags &given)
{
    return ApplyOptions {given.config, readEndpoint(given.at), readRevision(given.base),
                         ChangeId(given.changeId)};
}

Options readStatus(const GivenFlags &given)
{
    return StatusOptions {readEndpoint(given.at), given.json};
}

Options readExplain(const GivenFlags &given)
{
    return ExplainOptions {DatabaseName(given.word),
                           readEndpoint(given.at),
                           WorkspaceName(given.workspace),
                           given.access,
                           given.age,
                           given.json};
}

Options readTimeline(const GivenFlags &given)
{
    return TimelineOptions {readEndpoints(given.at), given.html, given.json};
}

Options readDrain(const GivenFlags &given)
{
    return DrainOptions {readEndpoint(given.at)};
}

struct Command
{
    const char *name;
    std::span<const Flag> flags;
    Options (*read)(const GivenFlags &);
    const char *help;
    const char *word = nullptr; // what usage() calls its argument; null for none
};

const Command Commands[] = {
        {"serve", ServeFlags, readServe, "run the roles that a node's settings name"},
        {"check", CheckFlags, readCheck, "merge and check a settings folder"},
        {"apply", ApplyFlags, readApply, "submit the fleet's settings"},
        {"status", StatusFlags, readStatus, "show the fleet, its groups and its revision"},
        {"explain", ExplainFlags, readExplain, "show where a request would go now, and why",
         "DATABASE"},
        {"timeline", TimelineFlags, readTimeline, "show the events of all processes"},
        {"drain", DrainFlags, readDrain, "take a VM out of work as planned"},
};

const Command &commandOf(const std::string &name)
{
    for (const Command &command : Commands) {
        if (command.name == name)
            return command;
    }
    throw UsageError("unknown command \"" + name + '"');
}

// The popt table of a command's flags; the value of each is its place, counted from 1.
std::vector<poptOption> poptTable(const std::vector<Flag> &flags)
{
    std::vector<poptOption> table;
    for (const Flag &flag : flags) {
        const unsigned kind = flag.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
        const int place = static_cast<int>(table.size()) + 1;
        table.push_back({flag.name, '\0', kind, nullptr, place, nullptr, flag.argument});
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

void takeFlag(const Flag &flag, poptContext context, GivenFlags &given)
{
    if (const auto *member = std::get_if<bool GivenFlags::*>(&flag.member)) {
        given.**member = true;
        return;
    }
    const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context), &std::free);
    if (!value || *value == '\0')
        throw UsageError(std::string("--") + flag.name + ": empty value");
    given.*std::get<std::string GivenFlags::*>(flag.member) = value.get();
}

void checkRequired(const Command &command, const GivenFlags &given)
{
    if (command.word != nullptr && given.word.empty())
        throw UsageError(std::string("missing ") + command.word);
    for (const Flag &flag : command.flags) {
        if (!flag.isRequired)
            continue;
        if ((given.*std::get<std::string GivenFlags::*>(flag.member)).empty())
            throw UsageError(std::string("missing --") + flag.name);
    }
}

GivenFlags readFlags(const Command &command, const std::vector<std::string> &arguments)
{
    std::vector<Flag> flags(command.flags.begin(), command.flags.end());
    flags.push_back(HelpFlag);
    const std::vector<poptOption> table = poptTable(flags);
    std::vector<const char *> words;
    for (const std::string &argument : arguments)
        words.push_back(argument.c_str());
    words.push_back(nullptr);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>
            context(poptGetContext(Program, static_cast<int>(arguments.size()), words.data(),
                                   table.data(), POPT_CONTEXT_NO_EXEC),
                    &poptFreeContext);
    GivenFlags given;
    int place = poptGetNextOpt(context.get());
    for (; place > 0; place = poptGetNextOpt(context.get()))
        takeFlag(flags[static_cast<std::size_t>(place) - 1], context.get(), given);
    if (place < -1) {
        throw UsageError(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": "
                         + poptStrerror(place));
    }
    if (command.word != nullptr && poptPeekArg(context.get()) != nullptr)
        given.word = poptGetArg(context.get());
    if (const char *word = poptPeekArg(context.get()))
        throw UsageError(std::string("unknown word \"") + word + '"');
    return given;
}

std::string usageOf(const Command &command)
{
    std::ostringstream text;
    text << Program << ' ' << command.name;
    if (command.word != nullptr)
        text << ' ' << command.word;
    for (const Flag &flag : command.flags) {
        const std::string value = flag.argument == nullptr ? "" : std::string(" ") + flag.argument;
        const std::string whole = std::string("--") + flag.name + value;
        text << ' ' << (flag.isRequired ? whole : '[' + whole + ']');
    }
    text << "\n      " << command.help << '\n';
    return text.str();
}

} // namespace

Options parseOptions(const std::vector<std::string> &arguments)
{
    if (arguments.empty())
        throw UsageError("no command");
    const bool isAlone = arguments.size() == 1;
    if (isAlone && arguments.front() == "--help")
        return HelpOptions();
    if (isAlone && arguments.front() == "--version")
        return VersionOptions();
    const Command &command = commandOf(arguments.front());
    const GivenFlags given = readFlags(command, arguments);
    if (given.help)
        return HelpOptions();
    checkRequired(command, given);
    return command.read(given);
}

std::string usage()
{
    std::string text = "usage:\n";
    for (const Command &command : Commands)
        text += "  " + usageOf(command);
    return text + "  " + Program + " --help\n  " + Program + " --version\n";
}

} // namespace nutmegtide
