#include "nutmegtide/charts/chart.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ChartVocabulary Vocabulary {{"act", "other"}, {"allowed"}};

// Appended to rows that need a whole state beside the faulty one.
const std::string End = "[states.end]\nfinal = true\n";

std::string problemsOf(const std::string &toml)
{
    try {
        Chart::parse("x", toml, Vocabulary);
    } catch (const ChartError &error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("each fault of a chart is named with its line")
{
    const std::string state = "initial = \"a\"\n[states.a]\n";
    struct Row
    {
        std::string toml;
        std::string problems;
    };
    const Row rows[] = {
            {"", "x:1: no initial\nx:0: no states"},
            {"initial = 3\n[states.a]\nfinal = true", "x:1: initial is not a name"},
            {"initial = \"a\"", "x:0: no states"},
            {"initial = \"a\"\nstates = 4", "x:0: no states"},
            {"initial = \"a\"\nstates.a = 4",
             "x:2: state a is not a table\nx:0: initial state a is missing"},
            {"initial = \"b\"\n[states.a]\nfinal = true", "x:0: initial state b is missing"},
            {"initial = ", "x:1: "},
            {state + "final = true\n[more]\n", "x:4: unknown key more"},
            {"initial = \"\xff\"", "x:1: "},
            {state, "x:2: state a has no transitions and is not final"},
            {state + "final = 1\non = [{event=\"e\",target=\"a\"}]", "x:3: final is not a boolean"},
            {state + "on = 4\nfinal = true", "x:3: on is not an array of tables"},
            {state + "on = [4]\nfinal = true", "x:3: a transition is not a table"},
            {state + "on = [{event=\"e\",target=\"b\"}]", "x:2: target b of a is missing"},
            {state + "on = [{target=\"a\"}]", "x:3: no event"},
            {state + "on = [{event=\"e\"}]", "x:3: no target"},
            {state + "on = [{event=\"e\",target=\"a\",actions=[\"none\"]}]",
             "x:3: unknown action none"},
            {state + "on = [{event=\"e\",target=\"a\",actions=\"act\"}]",
             "x:3: actions is not an array"},
            {state + "on = [{event=\"e\",target=\"a\",actions=[1]}]", "x:3: an action is not text"},
            {state + "on = [{event=\"e\",target=\"a\",guard=\"none\"}]", "x:3: unknown guard none"},
            {state + "on = [{event=\"e\",target=\"a\",go=1}]", "x:3: unknown key go"},
            {state + "on = [{event=\"e\",target=\"a\"},{event=\"e\",target=\"a\"}]",
             "x:2: duplicate transition for e in a"},
            {state + "on = [{event=\"e\",target=\"a\"},{event=\"e\",target=\"a\",guard=\"allowed\"}]",
             "x:2: duplicate transition for e in a"},
            {state + "final = true\non = [{event=\"e\",target=\"a\"}]",
             "x:2: final state a has transitions"},
            {state + "timeout = {after=\"t\",event=\"f\"}\non = [{event=\"e\",target=\"a\"}]",
             "x:2: timeout event f is not handled in a"},
            {state + "timeout = {event=\"e\"}\non = [{event=\"e\",target=\"a\"}]", "x:3: no after"},
            {state + "timeout = 3\non = [{event=\"e\",target=\"a\"}]",
             "x:3: timeout is not a table"},
            {state + "on = [{event=\"e\",target=\"a\"}]\n" + End, "x:4: state end is unreachable"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.toml);
        const std::string problems = problemsOf(row.toml);
        CAPTURE(problems);
        CHECK(problems.substr(0, row.problems.size()) == row.problems);
        const bool isParserText = row.problems == "x:1: ";
        CHECK((isParserText ? problems.size() > row.problems.size() : problems == row.problems));
    }
}

TEST_CASE("all faults are listed, not only the first")
{
    const std::string toml = "initial = \"a\"\n[states.a]\non = [{event=\"e\",target=\"b\","
                             "actions=[\"none\"]}]\n"
            + End;
    CHECK(problemsOf(toml)
          == "x:3: unknown action none\nx:2: target b of a is missing\n"
             "x:4: state end is unreachable");
}

TEST_CASE("the interpreter takes the first transition that fits")
{
    const Chart chart = Chart::parse("x",
                                     "initial = \"a\"\n[states.a]\n"
                                     "timeout = { after = \"t\", event = \"late\" }\n"
                                     "on = [{event=\"go\",target=\"end\",guard=\"allowed\"},\n"
                                     "{event=\"go\",target=\"b\",actions=[\"act\",\"other\"]},\n"
                                     "{event=\"late\",target=\"a\"}]\n"
                                     "[states.b]\non = [{event=\"back\",target=\"a\"}]\n"
                                             + End,
                                     Vocabulary);
    ChartInstance instance(chart);
    REQUIRE(instance.timeout());
    CHECK(instance.timeout()->event == "late");

    ChartStep step = instance.fire("back");
    CHECK_FALSE(step.isTaken);
    CHECK(instance.state() == "a");

    step = instance.fire("go");
    CHECK(step.isTaken);
    CHECK(step.actions == std::vector<std::string> {"act", "other"});
    CHECK(detailsOf(step)
          == std::map<std::string, std::string> {{"chart", "x"},
                                                 {"event", "go"},
                                                 {"from", "a"},
                                                 {"to", "b"}});
    CHECK_FALSE(instance.timeout());

    instance.fire("back");
    instance.fire("go", [](const std::string &guard) { return guard == "allowed"; });
    CHECK(instance.state() == "end");
    CHECK(instance.isFinal());
    CHECK_THROWS_AS(instance.fire("no_such_event"), ChartEventError);
}
