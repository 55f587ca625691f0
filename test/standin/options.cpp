#include "options.h"

#include <popt.h>
#include <sstream>

namespace nutmegtide::standin {

namespace {

// The words as popt stores them.
struct Words
{
    char *id = nullptr;
    char *database = nullptr;
    char *failureDomain = nullptr;
    char *listen = nullptr;
    char *portFile = nullptr;
    char *announce = nullptr;
    char *voters = nullptr;
    int isPrimary = 0;
    char *follow = nullptr;
    char *dataFolder = nullptr;
    int lag = 0;
    int ship = 0;
    int slots = 3;
    int connections = 20;
    int isUndivided = 0;
    char *state = nullptr;
};

std::string textOf(const char *word)
{
    return word ? word : "";
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

Options toOptions(const Words &words)
{
    Options options;
    options.id = ServerId(textOf(words.id));
    options.database = DatabaseName(textOf(words.database));
    options.failureDomain = FailureDomain(textOf(words.failureDomain));
    if (options.id.isEmpty() || options.database.isEmpty() || options.failureDomain.isEmpty())
        throw UsageError("--id, --database and --failure-domain are needed");
    if (words.listen)
        options.listen = parseEndpoint(words.listen);
    options.portFile = textOf(words.portFile);
    for (const std::string &endpoint : split(textOf(words.announce)))
        options.announce.push_back(parseEndpoint(endpoint));
    for (const std::string &voter : split(textOf(words.voters)))
        options.voters.emplace_back(voter);
    options.isPrimary = words.isPrimary != 0;
    if (words.follow)
        options.follow = parseEndpoint(words.follow);
    if (options.isPrimary && options.follow)
        throw UsageError("--primary and --follow exclude each other");
    options.dataFolder = textOf(words.dataFolder);
    if (words.lag < 0 || words.ship < 0 || words.slots < 1 || words.connections < 1)
        throw UsageError("a number is out of range");
    options.lag = std::chrono::milliseconds(words.lag);
    options.ship = std::chrono::milliseconds(words.ship);
    options.slots = words.slots;
    options.connections = words.connections;
    options.isDividing = words.isUndivided == 0;
    const std::optional<ServerState> state = serverStateFromString(words.state ? words.state
                                                                               : "ready");
    if (!state)
        throw UsageError("--state is ready, joining or leaving");
    options.state = *state;
    return options;
}

} // namespace

std::optional<ServerState> serverStateFromString(const std::string &text)
{
    for (const auto &[state, name] :
         {std::pair(ServerState::Joining, "joining"), std::pair(ServerState::Ready, "ready"),
          std::pair(ServerState::Leaving, "leaving")}) {
        if (text == name)
            return state;
    }
    return std::nullopt;
}

Options parseOptions(int argc, const char **argv)
{
    Words words;
    const poptOption table[] =
            {{"id", 0, POPT_ARG_STRING, &words.id, 0, "name of this server", "S"},
             {"database", 0, POPT_ARG_STRING, &words.database, 0, "database group", "D"},
             {"failure-domain", 0, POPT_ARG_STRING, &words.failureDomain, 0, "failure domain", "F"},
             {"listen", 0, POPT_ARG_STRING, &words.listen, 0, "address to listen on",
              "ADDRESS:PORT"},
             {"port-file", 0, POPT_ARG_STRING, &words.portFile, 0, "written once listening", "FILE"},
             {"announce", 0, POPT_ARG_STRING, &words.announce, 0, "proxies", "EP[,EP...]"},
             {"voters", 0, POPT_ARG_STRING, &words.voters, 0, "voters of term 1", "S[,S...]"},
             {"primary", 0, POPT_ARG_NONE, &words.isPrimary, 0, "start as primary of term 1",
              nullptr},
             {"follow", 0, POPT_ARG_STRING, &words.follow, 0, "primary of term 1", "EP"},
             {"data", 0, POPT_ARG_STRING, &words.dataFolder, 0, "folder of the journal", "DIR"},
             {"lag-ms", 0, POPT_ARG_INT, &words.lag, 0, "from receipt to applied", "MS"},
             {"ship-ms", 0, POPT_ARG_INT, &words.ship, 0, "from fetch to receipt", "MS"},
             {"slots", 0, POPT_ARG_INT, &words.slots, 0, "concurrent statements", "N"},
             {"connections", 0, POPT_ARG_INT, &words.connections, 0, "connections accepted", "N"},
             {"undivided", 0, POPT_ARG_NONE, &words.isUndivided, 0, "grants no connection shares",
              nullptr},
             {"state", 0, POPT_ARG_STRING, &words.state, 0, "ready, joining or leaving", "STATE"},
             POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("nutmegtide-standin", argc, argv, table, 0);
    const int fault = poptGetNextOpt(context);
    const bool hasRest = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    if (fault < -1)
        throw UsageError(poptStrerror(fault));
    if (hasRest)
        throw UsageError("there are no words beside the options");
    try {
        return toOptions(words);
    } catch (const EndpointError &error) {
        throw UsageError(error.what());
    }
}

} // namespace nutmegtide::standin
