#include "cli/commandline.h"
#include "cli/commands.h"
#include "serve/plainhttpclient.h"

#include <cstdio>

namespace nutmegtide {

namespace {

std::string textOf(const nlohmann::json &value)
{
    if (value.is_null())
        return "-";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Writes one "path.to.key: value" line for each value, however the status is laid out.
void printLines(const nlohmann::json &json, const std::string &path)
{
    if (!json.is_structured() || json.empty()) {
        std::printf("%s: %s\n", path.c_str(), textOf(json).c_str());
        return;
    }
    for (const auto &[key, value] : json.items())
        printLines(value, path.empty() ? key : path + '.' + key);
}

// What is wrong comes first, in words.
void printProblems(const nlohmann::json &problems)
{
    if (problems.empty())
        std::printf("nothing is wrong\n");
    for (const nlohmann::json &problem : problems)
        std::printf("PROBLEM  %s\n", textOf(problem).c_str());
    std::printf("\n");
}

void printGroup(const std::string &database, const nlohmann::json &group)
{
    std::string homes;
    const nlohmann::json names = group.value("homes", nlohmann::json::array());
    for (const nlohmann::json &home : names)
        homes += ' ' + textOf(home);
    std::printf("database %s: term %s, primary %s, homes%s\n", database.c_str(),
                textOf(group.value("term", nlohmann::json())).c_str(),
                textOf(group.value("primary", nlohmann::json())).c_str(), homes.c_str());
    std::printf("  %-16s %-16s %-8s %-8s %-14s %-10s %s\n", "backend server", "failure domain",
                "role", "state", "position", "age ms", "in flight");
    const nlohmann::json servers = group.value("servers", nlohmann::json::object());
    for (const auto &[id, server] : servers.items()) {
        const auto field = [&server = server](const char *key) {
            return textOf(server.value(key, nlohmann::json()));
        };
        std::printf("  %-16s %-16s %-8s %-8s %-14s %-10s %s/%s%s\n", id.c_str(),
                    field("failure_domain").c_str(), field("role").c_str(), field("state").c_str(),
                    field("applied").c_str(), field("proved_age_ms").c_str(),
                    field("in_flight").c_str(), field("slots").c_str(),
                    server.value("suspect", false) ? "  silent" : "");
    }
    std::printf("\n");
}

void printMembers(const nlohmann::json &members)
{
    std::printf("%-16s %-16s %-8s %-9s %-9s %s\n", "VM", "failure domain", "control", "draining",
                "revision", "callers");
    for (const auto &[vm, member] : members.items()) {
        const auto field = [&member = member](const char *key) {
            return textOf(member.value(key, nlohmann::json()));
        };
        std::printf("%-16s %-16s %-8s %-9s %-9s %s\n", vm.c_str(), field("failure_domain").c_str(),
                    field("control").c_str(), field("draining").c_str(), field("revision").c_str(),
                    field("callers").c_str());
    }
    std::printf("\n");
}

void printStatus(nlohmann::json status)
{
    printProblems(status.value("problems", nlohmann::json::array()));
    const nlohmann::json groups = status.value("groups", nlohmann::json::object());
    for (const auto &[database, group] : groups.items())
        printGroup(database, group);
    if (status.contains("members"))
        printMembers(status.at("members"));
    for (const char *printed : {"problems", "groups", "members"})
        status.erase(printed);
    printLines(status, "");
}

} // namespace

int runStatus(const StatusOptions &options)
{
    const PlainHttpAnswer answer = PlainHttpClient(options.at).get("/v1/status");
    const nlohmann::json json = jsonOf(answer);
    if (options.json) {
        std::printf("%s\n", answer.body.c_str());
    } else {
        printStatus(json);
    }
    return ExitOk;
}

} // namespace nutmegtide
