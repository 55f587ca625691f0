#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegtide {

// Arguments that name no command or give it wrong or too few flags.
class UsageError : public Error
{
public:
    using Error::Error;
};

struct HelpOptions
{ };

struct VersionOptions
{ };

struct ServeOptions
{
    std::string config; // the node's settings folder
};

struct CheckOptions
{
    std::string config; // a settings folder of a node or of a fleet
    bool print = false;
};

struct ApplyOptions
{
    std::string config; // the fleet's settings folder
    Endpoint at; // an operators' listener
    std::optional<Revision> base; // absent: the revision that is accepted now
    ChangeId changeId; // empty: a new one is made
};

struct StatusOptions
{
    Endpoint at;
    bool json = false;
};

struct ExplainOptions
{
    DatabaseName database;
    Endpoint at; // the operators' listener of an entry VM of a site
    WorkspaceName workspace; // empty: none
    // Checked by the listener; empty: its default.
    std::string access;
    std::string age;
    bool json = false;
};

struct TimelineOptions
{
    std::vector<Endpoint> at;
    std::string html; // file to write; empty: none
    bool json = false;
};

struct DrainOptions
{
    Endpoint at;
};

// What the command line asks for: one alternative for each command.
using Options = std::variant<HelpOptions, VersionOptions, ServeOptions, CheckOptions, ApplyOptions,
                             StatusOptions, ExplainOptions, TimelineOptions, DrainOptions>;

// Reads the arguments after the program's name. Throws UsageError.
Options parseOptions(const std::vector<std::string> &arguments);

// The text of --help.
std::string usage();

} // namespace nutmegtide
