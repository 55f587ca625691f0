#include "cli/options.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

using Words = std::vector<std::string>;

TEST_CASE("each command gets its typed options")
{
    const auto serve = std::get<ServeOptions>(parseOptions({"serve", "--config", "d"}));
    CHECK(serve.config == "d");
    const auto check = std::get<CheckOptions>(parseOptions({"check", "--print", "--config=d"}));
    CHECK(check.config == "d");
    CHECK(check.print);
    const auto apply = std::get<ApplyOptions>(parseOptions(
            {"apply", "--config", "d", "--at", "127.0.0.1:1", "--base", "7", "--change-id", "c"}));
    CHECK(toString(apply.at) == "127.0.0.1:1");
    CHECK(apply.base == Revision(7));
    CHECK(apply.changeId == ChangeId("c"));
    const auto plain = std::get<ApplyOptions>(
            parseOptions({"apply", "--config", "d", "--at", "127.0.0.1:1"}));
    CHECK_FALSE(plain.base.has_value());
    CHECK(plain.changeId.isEmpty());
    const auto status = std::get<StatusOptions>(parseOptions({"status", "--at", "[::1]:1"}));
    CHECK(toString(status.at) == "[::1]:1");
    CHECK_FALSE(status.json);
    const auto explain = std::get<ExplainOptions>(
            parseOptions({"explain", "casks", "--at", "127.0.0.1:1", "--workspace", "w", "--access",
                          "write", "--age", "5", "--json"}));
    CHECK(explain.database == DatabaseName("casks"));
    CHECK(toString(explain.at) == "127.0.0.1:1");
    CHECK(explain.workspace == WorkspaceName("w"));
    CHECK(explain.access == "write");
    CHECK(explain.age == "5");
    CHECK(explain.json);
    const auto shortest = std::get<ExplainOptions>(
            parseOptions({"explain", "--at", "127.0.0.1:1", "casks"}));
    CHECK(shortest.database == DatabaseName("casks"));
    CHECK(shortest.access.empty());
    CHECK_FALSE(shortest.json);
    const auto timeline = std::get<TimelineOptions>(
            parseOptions({"timeline", "--at", "127.0.0.1:1,127.0.0.1:2", "--html", "f", "--json"}));
    CHECK(timeline.at == std::vector<Endpoint> {{"127.0.0.1", 1}, {"127.0.0.1", 2}});
    CHECK(timeline.html == "f");
    CHECK(timeline.json);
    const auto drain = std::get<DrainOptions>(parseOptions({"drain", "--at", "127.0.0.1:1"}));
    CHECK(toString(drain.at) == "127.0.0.1:1");
    CHECK(std::holds_alternative<HelpOptions>(parseOptions({"--help"})));
    CHECK(std::holds_alternative<HelpOptions>(parseOptions({"drain", "--help"})));
    CHECK(std::holds_alternative<VersionOptions>(parseOptions({"--version"})));
}

TEST_CASE("arguments that can't be taken are usage errors")
{
    struct Row
    {
        Words arguments;
        const char *problem;
    };
    const Row rows[] = {
            {{}, "no command"},
            {{"start"}, "unknown command \"start\""},
            {{"--config"}, "unknown command \"--config\""},
            {{"--help", "serve"}, "unknown command \"--help\""},
            {{"serve"}, "missing --config"},
            {{"serve", "--config"}, "--config: missing argument"},
            {{"serve", "--config", ""}, "--config: empty value"},
            {{"serve", "--config", "d", "more"}, "unknown word \"more\""},
            {{"serve", "--config", "d", "--print"}, "--print: unknown option"},
            {{"serve", "-c", "d"}, "-c: unknown option"},
            {{"check"}, "missing --config"},
            {{"apply", "--config", "d"}, "missing --at"},
            {{"apply", "--at", "127.0.0.1:1"}, "missing --config"},
            {{"apply", "--config", "d", "--at", "127.0.0.1:1", "--base", "-1"},
             "--base: no revision number in \"-1\""},
            {{"apply", "--config", "d", "--at", "127.0.0.1:1", "--base", "1x"},
             "--base: no revision number in \"1x\""},
            {{"status"}, "missing --at"},
            {{"status", "--at", "host:1"}, "--at: no numeric IP address in \"host:1\""},
            {{"status", "word", "--at", "127.0.0.1:1"}, "unknown word \"word\""},
            {{"explain", "--at", "127.0.0.1:1"}, "missing DATABASE"},
            {{"explain", "casks"}, "missing --at"},
            {{"explain", "casks", "more", "--at", "127.0.0.1:1"}, "unknown word \"more\""},
            {{"explain", "casks", "--at", "127.0.0.1:1", "--age"}, "--age: missing argument"},
            {{"timeline"}, "missing --at"},
            {{"timeline", "--at", "127.0.0.1:1,"}, "--at: no port in \"\""},
            {{"drain"}, "missing --at"},
            {{"drain", "--at", "127.0.0.1"}, "--at: no port in \"127.0.0.1\""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.problem);
        CHECK_THROWS_WITH_AS(parseOptions(row.arguments), row.problem, UsageError);
    }
}

TEST_CASE("the usage names every command")
{
    for (const char *name : {"serve", "check", "apply", "status", "timeline", "drain"}) {
        CAPTURE(name);
        CHECK(usage().find(std::string("nutmegtide ") + name + " --") != std::string::npos);
    }
    CHECK(usage().find("nutmegtide explain DATABASE --at HOST:PORT [--workspace NAME]")
          != std::string::npos);
}
