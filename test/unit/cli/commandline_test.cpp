#include "cli/commandline.h"

#include "unit/cli/fakeoperator.h"
#include "unit/settings/temporaryfolder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;

namespace {

// Nothing listens on port 1 of loopback, so connecting is refused.
constexpr const char *Refusing = "127.0.0.1:1";

int run(std::vector<std::string> words)
{
    words.insert(words.begin(), "nutmegtide");
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    return runCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("the exit code tells usage, settings and unreachable processes apart")
{
    const TemporaryFolder good;
    good.write("a.toml", "[database.A]\n");
    const TemporaryFolder bad;
    bad.write("a.toml", "[database.A]\nx = 1\n");
    struct Row
    {
        std::vector<std::string> words;
        int code;
    };
    const Row rows[] = {
            {{}, ExitUsage},
            {{"start"}, ExitUsage},
            {{"serve"}, ExitUsage},
            {{"check", "--config", good.path(), "--json"}, ExitUsage},
            {{"--help"}, ExitOk},
            {{"--version"}, ExitOk},
            {{"serve", "--config", bad.path()}, ExitBadSettings},
            {{"check", "--config", good.path()}, ExitOk},
            {{"check", "--config", good.path(), "--print"}, ExitOk},
            {{"check", "--config", bad.path()}, ExitBadSettings},
            {{"check", "--config", good.path() + "/missing"}, ExitBadSettings},
            {{"apply", "--config", bad.path(), "--at", Refusing}, ExitBadSettings},
            {{"apply", "--config", good.path(), "--at", Refusing}, ExitFailed},
            {{"apply", "--config", good.path(), "--at", Refusing, "--base", "1"}, ExitFailed},
            {{"status", "--at", Refusing}, ExitFailed},
            {{"drain", "--at", Refusing}, ExitFailed},
            {{"explain", "casks"}, ExitBadQuestion},
            {{"explain", "casks", "--at", Refusing}, ExitFailed},
            {{"timeline", "--at", Refusing}, ExitFailed},
    };
    for (const Row &row : rows) {
        CAPTURE(row.words);
        CHECK(run(row.words) == row.code);
    }
}

TEST_CASE("apply exits by the outcome")
{
    struct Row
    {
        const char *what;
        FakeOperator::Answer answer;
        int code;
    };
    const Row rows[] = {
            {"accepted", {200, R"({"outcome":"accepted","revision":8})"}, ExitOk},
            {"conflict", {409, R"({"outcome":"conflict","winner":"w"})"}, ExitConflict},
            {"invalid", {400, R"({"outcome":"invalid","message":"m"})"}, ExitBadSettings},
            {"unknown", {504, R"({"outcome":"unknown"})"}, ExitUnknownOutcome},
            {"another word", {200, R"({"outcome":"maybe"})"}, ExitUnknownOutcome},
            {"no JSON", {200, "accepted"}, ExitUnknownOutcome},
            {"a list", {200, "[]"}, ExitUnknownOutcome},
            {"server fault", {500, ""}, ExitUnknownOutcome},
            {"not found", {404, ""}, ExitFailed},
            {"no answer", {0, ""}, ExitUnknownOutcome},
    };
    const TemporaryFolder folder;
    folder.write("a.toml", "[database.A]\n");
    FakeOperator fake;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        fake.setAnswers({{"/v1/config", row.answer}});
        const std::string at = toString(fake.endpoint());
        CHECK(run({"apply", "--config", folder.path(), "--at", at, "--base", "7", "--change-id",
                   "c"})
              == row.code);
        REQUIRE(fake.posted().size() == 1);
        const auto sent = nlohmann::json::parse(fake.posted()[0]);
        CHECK(sent["change_id"] == "c");
        CHECK(sent["base_revision"] == 7);
        CHECK(sent["toml"] == "[database.A]\n");
    }
}

TEST_CASE("apply without a base reads the current revision and makes a change id")
{
    const TemporaryFolder folder;
    folder.write("a.toml", "[database.A]\n");
    FakeOperator fake;
    fake.setAnswers({{"/v1/config", {200, R"({"revision":41,"toml":"","outcome":"accepted"})"}}});
    const std::string at = toString(fake.endpoint());
    CHECK(run({"apply", "--config", folder.path(), "--at", at}) == ExitOk);
    CHECK(run({"apply", "--config", folder.path(), "--at", at}) == ExitOk);
    REQUIRE(fake.posted().size() == 2);
    const auto first = nlohmann::json::parse(fake.posted()[0]);
    const auto second = nlohmann::json::parse(fake.posted()[1]);
    CHECK(first["base_revision"] == 41);
    CHECK(first["change_id"].get<std::string>().size() == 32);
    CHECK(first["change_id"] != second["change_id"]);
}

TEST_CASE("apply sends nothing when the current revision can't be read")
{
    const TemporaryFolder folder;
    folder.write("a.toml", "[database.A]\n");
    FakeOperator fake;
    for (const FakeOperator::Answer &answer :
         {FakeOperator::Answer {200, R"({"revision":-1})"}, FakeOperator::Answer {200, "[]"},
          FakeOperator::Answer {503, "{}"}, FakeOperator::Answer {0, ""}}) {
        CAPTURE(answer.body);
        fake.setAnswers({{"/v1/config", answer}});
        CHECK(run({"apply", "--config", folder.path(), "--at", toString(fake.endpoint())})
              == ExitFailed);
        CHECK(fake.posted().empty());
    }
}

// Guards against scripts that take a refused request, or a failed question, for a served one.
TEST_CASE("explain exits by the outcome")
{
    struct Row
    {
        FakeOperator::Answer answer;
        int code;
    };
    const Row rows[] = {
            {{200, R"({"outcome":"server","candidates":[{"server":"i-1"}]})"}, ExitOk},
            {{200, R"({"outcome":"refused"})"}, ExitFailed},
            {{200, R"({"outcome":"waits"})"}, ExitFailed},
            {{200, "[]"}, ExitFailed},
            {{200, "no json"}, ExitFailed},
            {{400, R"({"error":"age: no","parameter":"age"})"}, ExitBadQuestion},
            {{404, R"({"error":"unknown database"})"}, ExitFailed},
            {{503, R"({"error":"busy"})"}, ExitFailed},
            {{0, ""}, ExitFailed},
    };
    FakeOperator fake;
    for (const Row &row : rows) {
        CAPTURE(row.answer.status);
        CAPTURE(row.answer.body);
        fake.setAnswers({{"/v1/explain", row.answer}});
        CHECK(run({"explain", "casks", "--at", toString(fake.endpoint())}) == row.code);
        CHECK(run({"explain", "casks", "--at", toString(fake.endpoint()), "--json"}) == row.code);
    }
}

TEST_CASE("status, timeline and drain exit by the answer")
{
    struct Row
    {
        const char *command;
        const char *path;
        FakeOperator::Answer answer;
        int code;
    };
    const Row rows[] = {
            {"status", "/v1/status", {200, R"({"revision":1,"groups":[{"term":2}]})"}, ExitOk},
            {"status", "/v1/status", {200, "no json"}, ExitFailed},
            {"status", "/v1/status", {500, "{}"}, ExitFailed},
            {"status", "/v1/status", {0, ""}, ExitFailed},
            {"timeline",
             "/v1/timeline",
             {200, R"({"parts":[{"vm":"a","dropped":0,"events":[]}],"unreachable":[]})"},
             ExitOk},
            {"timeline",
             "/v1/timeline",
             {200, R"({"parts":[],"unreachable":[{"vm":"b","reason":"refused"}]})"},
             ExitFailed},
            {"timeline", "/v1/timeline", {200, R"({"parts":7})"}, ExitFailed},
            {"timeline", "/v1/timeline", {404, ""}, ExitFailed},
            {"drain", "/v1/drain", {200, ""}, ExitOk},
            {"drain", "/v1/drain", {500, ""}, ExitFailed},
            {"drain", "/v1/drain", {0, ""}, ExitFailed},
    };
    FakeOperator fake;
    for (const Row &row : rows) {
        CAPTURE(row.command);
        CAPTURE(row.answer.status);
        fake.setAnswers({{row.path, row.answer}});
        CHECK(run({row.command, "--at", toString(fake.endpoint())}) == row.code);
    }
}
