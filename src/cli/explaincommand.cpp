#include "cli/commandline.h"
#include "cli/commands.h"
#include "nutmegtide/base/text.h"
#include "serve/plainhttpclient.h"

#include <cstdio>
#include <curl/curl.h>
#include <memory>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr auto AnswerTime = std::chrono::seconds(5); // the listener answers within about 1 s
constexpr long BadRequest = 400;

std::string encoded(const std::string &text)
{
    const std::unique_ptr<char, decltype(&curl_free)>
            escaped(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
                    &curl_free);
    if (!escaped)
        throw Error("the text can't be encoded: " + text);
    return escaped.get();
}

std::string queryOf(const ExplainOptions &options)
{
    std::string query = "database=" + encoded(options.database.text());
    if (!options.access.empty())
        query += "&access=" + encoded(options.access);
    if (!options.workspace.isEmpty())
        query += "&workspace=" + encoded(options.workspace.text());
    if (!options.age.empty())
        query += "&age=" + encoded(options.age);
    return query;
}

Json fieldOf(const Json &json, const char *key)
{
    return json.is_object() ? json.value(key, Json()) : Json();
}

std::string textOf(const Json &value)
{
    if (value.is_null())
        return "-";
    return value.is_string() ? value.get<std::string>() : encodeJsonLossy(value);
}

std::string textOf(const Json &json, const char *key)
{
    return textOf(fieldOf(json, key));
}

// A value with its age, as in "12.5 (30 ms)"; "-" if none was ever received.
std::string agedText(const Json &json, const char *key)
{
    const Json aged = fieldOf(json, key);
    if (fieldOf(aged, "age_ms").is_null())
        return "-";
    return textOf(aged, "value") + " (" + textOf(aged, "age_ms") + " ms)";
}

void printDecision(const Json &json)
{
    const auto field = [&json](const char *key) { return textOf(json, key); };
    std::printf("%s of database %s, service %s, at %s: consistency %s, revision %s\n",
                field("access").c_str(), field("database").c_str(), field("service").c_str(),
                field("vm").c_str(), field("consistency").c_str(), field("revision").c_str());
    std::printf("outcome: %s\nreason: %s\nserver: %s\n", field("outcome").c_str(),
                field("reason").c_str(), field("server").c_str());
    const std::string home = field("home");
    std::printf("home: %s\nchoice: %s\n", home.empty() ? "-" : home.c_str(),
                field("choice").c_str());
    const Json need = fieldOf(json, "need");
    if (need.is_object())
        std::printf("need: position %s, proved %s ms ago\n", textOf(need, "position").c_str(),
                    textOf(need, "proof_age_ms").c_str());
    else
        std::printf("need: %s\n", textOf(need).c_str());
    if (const Json cap = fieldOf(json, "cap"); cap.is_object())
        std::printf(
                "cap: workspace %s, %s operations a second, burst %s; an operation needs a loan\n",
                textOf(cap, "workspace").c_str(), textOf(cap, "per_second").c_str(),
                textOf(cap, "burst").c_str());
}

void printCandidates(const Json &json)
{
    const char *format =
            "  %-16s %-14s %-8s %-18s %-6s %-8s %-8s %-18s %-18s %-18s %-18s %-8s %s\n";
    const Json candidates = fieldOf(json, "candidates");
    const bool isBalanced = !candidates.empty() && candidates[0].contains("probability_percent");
    std::printf(format, "backend server", "failure domain", "role", "excluded", "slots", "running",
                "waiting", "response ms (age)", "wait ms (age)", "failures (age)", "lag ms (age)",
                "price ms", isBalanced ? "probability %" : "cost ms");
    for (const Json &candidate : candidates) {
        const auto field = [&candidate](const char *key) { return textOf(candidate, key); };
        const auto aged = [&candidate](const char *key) { return agedText(candidate, key); };
        std::printf(format, field("server").c_str(), field("failure_domain").c_str(),
                    field("role").c_str(), field("excluded").c_str(), field("slots").c_str(),
                    field("running").c_str(), field("waiting").c_str(),
                    aged("response_time_ms").c_str(), aged("reported_wait_ms").c_str(),
                    aged("failure_share").c_str(), aged("replication_lag_ms").c_str(),
                    field("price_ms").c_str(),
                    field(isBalanced ? "probability_percent" : "cost_ms").c_str());
    }
    if (const Json omitted = fieldOf(json, "candidates_omitted");
        omitted.is_number() && omitted != 0)
        std::printf("  and %s more\n", textOf(omitted).c_str());
}

} // namespace

int runExplain(const ExplainOptions &options)
{
    const PlainHttpAnswer answer = PlainHttpClient(options.at, AnswerTime)
                                           .get("/v1/explain?" + queryOf(options));
    if (answer.status == BadRequest) {
        std::fprintf(stderr, "nutmegtide: %s\n", answer.body.c_str());
        return ExitBadQuestion;
    }
    const Json json = jsonOf(answer);
    if (options.json) {
        std::printf("%s\n", answer.body.c_str());
    } else {
        printDecision(json);
        printCandidates(json);
    }
    return textOf(json, "outcome") == "server" ? ExitOk : ExitFailed;
}

} // namespace nutmegtide
