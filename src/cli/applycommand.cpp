#include "cli/commandline.h"
#include "cli/commands.h"
#include "nutmegtide/base/text.h"
#include "nutmegtide/settings/loader.h"
#include "serve/plainhttpclient.h"

#include <array>
#include <cstdio>
#include <random>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr const char *ConfigPath = "/v1/config";
constexpr long FirstClientFault = 400; // statuses of a request that was not taken
constexpr long FirstServerFault = 500;

struct OutcomeRow
{
    std::string_view name;
    ExitCode code;
};

constexpr std::array<OutcomeRow, 4> Outcomes = {{{"accepted", ExitOk},
                                                 {"conflict", ExitConflict},
                                                 {"invalid", ExitBadSettings},
                                                 {"unknown", ExitUnknownOutcome}}};

// Checks with the files' own lines first, then what will go over the wire.
std::string mergedFleet(const std::string &folder)
{
    loadFleetSettings(folder);
    std::string toml = mergeFolder(folder).toml;
    parseFleetSettings(toml);
    return toml;
}

Revision currentRevision(const PlainHttpClient &client)
{
    const Json json = jsonOf(client.get(ConfigPath));
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned())
        throw MessageError("no revision in the answer");
    return json["revision"].get<Revision>();
}

ChangeId newChangeId()
{
    std::random_device random;
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", random(), random(), random(),
                  random());
    return ChangeId(text.data());
}

std::string textMember(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

void printOutcome(const Json &json, const std::string &outcome)
{
    std::printf("%s", outcome.c_str());
    if (json.contains("revision") && json["revision"].is_number_unsigned())
        std::printf(" revision=%llu", json["revision"].get<unsigned long long>());
    if (const std::string winner = textMember(json, "winner"); !winner.empty())
        std::printf(" winner=%s", winner.c_str());
    if (const std::string message = textMember(json, "message"); !message.empty())
        std::printf(": %s", message.c_str());
    std::printf("\n");
}

int exitOf(const PlainHttpAnswer &answer)
{
    const Json json = Json::parse(answer.body, nullptr, false);
    const std::string outcome = json.is_object() ? textMember(json, "outcome") : "";
    for (const OutcomeRow &row : Outcomes) {
        if (row.name != outcome)
            continue;
        printOutcome(json, outcome);
        return row.code;
    }
    std::fprintf(stderr, "nutmegtide: HTTP status %ld without an outcome\n", answer.status);
    const bool isNotTaken = answer.status >= FirstClientFault && answer.status < FirstServerFault;
    return isNotTaken ? ExitFailed : ExitUnknownOutcome;
}

} // namespace

int runApply(const ApplyOptions &options)
{
    const std::string toml = mergedFleet(options.config);
    const PlainHttpClient client(options.at);
    const Revision base = options.base ? *options.base : currentRevision(client);
    const ChangeId changeId = options.changeId.isEmpty() ? newChangeId() : options.changeId;
    // Printed before the request is sent, so that it is known whatever becomes of the answer.
    std::printf("change_id=%s base=%llu\n", changeId.text().c_str(),
                static_cast<unsigned long long>(base));
    std::fflush(stdout);
    const Json request = {{"change_id", changeId.text()}, {"base_revision", base}, {"toml", toml}};
    const std::string body = encodeJsonLossy(request);
    try {
        return exitOf(client.post(ConfigPath, body));
    } catch (const NoAnswerError &error) {
        std::fprintf(stderr, "nutmegtide: unknown outcome: %s\n", error.what());
        return ExitUnknownOutcome;
    }
}

} // namespace nutmegtide
