#include "process/support/httpclient.h"
#include "process/support/lineserver.h"
#include "process/support/linesite.h"
#include "process/support/waituntil.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

struct CommandResult
{
    int code = 0;
    std::string output;
};

CommandResult explain(const LineSite &site, std::vector<std::string> words)
{
    const TemporaryFolder folder;
    const std::string path = folder.path() + "/output";
    words.insert(words.begin(), "explain");
    words.insert(words.end(), {"--at", toString(site.operators())});
    ChildProcess command(NUTMEGTIDE_BINARY, words, path);
    const int code = command.waitForExit().code;
    std::ifstream file(path);
    return {code, {std::istreambuf_iterator<char>(file), {}}};
}

bool lists(const Json &explanation, const std::string &server)
{
    for (const Json &candidate : explanation.at("candidates")) {
        if (candidate.at("server") == server && candidate.at("readable") == true)
            return true;
    }
    return false;
}

} // namespace

// Guards against an explanation that differs from what the entry VM does with the request.
TEST_CASE("a site: an entry VM explains a read and a write, and the read goes where it says")
{
    LineServer primary("db", "i-1");
    LineServer replica("db", "i-2");
    LineSite site;
    HttpClient operators(site.operators());
    waitUntil(
            [&operators] {
                try {
                    const HttpAnswer answer = operators.get("/v1/explain?database=casks");
                    return answer.status == 503
                            && answer.json().at("error") == "no configuration yet";
                } catch (const HttpError &) {
                    return false;
                }
            },
            "the entry VM to start without routes");
    site.configure(SiteRoutes);
    site.announce(primary);
    const std::string body = toJson(ServerBody {replica.endpoint(), 'a', false, 1});
    CHECK(statusOf(site.controlPort(), "PUT", "/instances/i-2", body) == 200);
    const auto readExplanation = [&operators] {
        return operators.get("/v1/explain?database=casks&access=read").json();
    };
    waitUntil([&] { return site.isReady() && readExplanation().at("candidates").size() == 2; },
              "the entry VM to know both servers");

    const CommandResult write = explain(site, {"casks", "--access", "write", "--json"});
    CAPTURE(write.output);
    CHECK(write.code == 0);
    const Json writeJson = Json::parse(write.output);
    CHECK(writeJson.at("server") == "i-1");
    CHECK(writeJson.at("vm") == "entry-0");
    CHECK(writeJson.at("service") == "db");
    const CommandResult read = explain(site, {"casks"});
    CAPTURE(read.output);
    CHECK(read.code == 0);
    CHECK(read.output.find("outcome: server") != std::string::npos);

    const Json explained = readExplanation();
    CHECK(explained.at("consistency") == "own_writes");
    CHECK(lists(explained, explained.at("server")));
    LineClient caller(site.callers());
    CHECK(caller.ask("START casks me") == "READY I -");
    caller.send("QUERY q1 READ x");
    CHECK(caller.ask("") == "ROW row");
    CHECK(primary.reads() + replica.reads() == 1);
    CHECK(lists(explained, primary.reads() == 1 ? "i-1" : "i-2"));
}

// Guards against refusals that don't tell the operator which part of the question is wrong.
TEST_CASE("a site: questions that can't be answered name what is wrong with them")
{
    LineServer server("db", "i-1");
    LineSite site;
    site.configure(SiteRoutes);
    site.announce(server);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    HttpClient operators(site.operators());
    struct Row
    {
        const char *query;
        int status;
        const char *named;
    };
    const Row rows[] = {
            {"?database=nowhere", 404, "nowhere"},
            {"?database=casks&workspace=nobody", 404, "nobody"},
            {"?database=casks&access=both", 400, "access"},
            {"?database=casks&access=write&age=5", 400, "age"},
            {"?database=casks&age=3600001", 400, "age"},
            {"?database=casks&colour=red", 400, "colour"},
            {"", 400, "database"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.query);
        const HttpAnswer answer = operators.get(std::string("/v1/explain") + row.query);
        CHECK(answer.status == row.status);
        const auto error = answer.json().at("error").get<std::string>();
        CHECK(error.find(row.named) != std::string::npos);
    }
    CHECK(explain(site, {"nowhere"}).code == 1);
    CHECK(explain(site, {"casks", "--access", "both"}).code == 2);
    CHECK(explain(site, {"casks", "--colour", "red"}).code == 2);
}

// Guards against a stop that waits for a question, and a question that outlives the entry VM's state.
TEST_CASE("a site: an entry VM that is asked for explanations all the time stops as planned")
{
    LineServer server("db", "i-1");
    LineSite site;
    site.configure(SiteRoutes);
    site.announce(server);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    site.entry().sendSignal(SIGTERM);
    int answered = 0;
    const auto isStopped = [&] {
        const int status = statusOf(site.operators(), "GET", "/v1/explain?database=casks", "");
        answered += status == 200 ? 1 : 0;
        return status == 0;
    };
    waitUntil(isStopped, "the operators' listener to close");
    CHECK(answered > 0);
    CHECK(site.entry().waitForExit() == ExitStatus {0, 0});
}
