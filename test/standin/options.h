#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"

#include <string>

namespace nutmegtide::standin {

// What the command line of nutmegtide-standin names.
struct Options
{
    ServerId id;
    DatabaseName database;
    FailureDomain failureDomain;
    Endpoint listen = {"127.0.0.1", 0};
    std::string portFile;
    std::vector<Endpoint> announce;
    std::vector<ServerId> voters;
    bool isPrimary = false;
    std::optional<Endpoint> follow;
    std::string dataFolder; // empty: in memory only
    std::chrono::milliseconds lag = std::chrono::milliseconds::zero();
    std::chrono::milliseconds ship = std::chrono::milliseconds::zero();
    int slots = 3;
    int connections = 20;
    bool isDividing = true; // divides its connections among the homes
    ServerState state = ServerState::Ready;
};

// A command line that can't be read. Its text is for the user.
class UsageError : public Error
{
public:
    using Error::Error;
};

// Throws UsageError. --help prints the options and ends the process.
Options parseOptions(int argc, const char **argv);

// Reads "ready", "joining" or "leaving"; nothing for other text.
std::optional<ServerState> serverStateFromString(const std::string &text);

} // namespace nutmegtide::standin
