#include "nutmegtide/charts/chartlibrary.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("all embedded charts load")
{
    const ChartLibrary library = ChartLibrary::embedded();
    CHECK(library.charts().size() == standardVocabularies().size());
    CHECK_THROWS_AS(library.chart("none"), ChartError);
}

TEST_CASE("every action that the code carries out stands in its chart")
{
    const ChartLibrary library = ChartLibrary::embedded();
    for (const auto &entry : standardVocabularies()) {
        CAPTURE(entry.first);
        std::set<std::string> used;
        for (const auto &[stateName, state] : library.chart(entry.first).states()) {
            for (const ChartTransition &transition : state.transitions)
                used.insert(transition.actions.begin(), transition.actions.end());
        }
        CHECK(used == entry.second.actions);
    }
}

TEST_CASE("a library lists the faults of all charts")
{
    try {
        const ChartLibrary library({{"a", ""}, {"b", "initial = \"s\"\n[states.s]\nfinal = true"}},
                                   {{"a", {}}, {"c", {}}});
        FAIL("expected a ChartError");
    } catch (const ChartError &error) {
        CHECK(std::string(error.what())
              == "c:0: the chart is missing\na:1: no initial\na:0: no states\n"
                 "b:0: no code runs this chart");
    }
}

TEST_CASE("charts follow their events")
{
    struct Row
    {
        std::string chart;
        std::vector<std::string> events;
        std::string state;
    };
    const Row rows[] = {
            {"primary_change",
             {"suspected", "probe_ok", "reserved", "fenced_majority", "chosen", "promoted",
              "barrier_confirmed", "published"},
             "idle"},
            {"primary_change", {"suspected", "probe_failed"}, "failed"},
            {"primary_change", {"suspected", "fenced_majority"}, "probing"},
            {"primary_change", {"suspected", "recovered"}, "idle"},
            {"primary_change",
             {"suspected", "probe_ok", "reserved", "fence_timeout", "retry"},
             "probing"},
            {"primary_change",
             {"requested", "probe_ok", "reserved", "fenced_majority", "chosen", "promoted",
              "published"},
             "confirming"},
            {"backend_server", {"announced_ready", "silent", "announced_ready"}, "ready"},
            {"backend_server", {"announced_ready", "silent", "silent", "forgotten"}, "gone"},
            {"drain", {"drain_ordered", "drain_timed_out"}, "drained"},
            {"control_role", {"election_timeout", "pre_vote_won", "vote_won"}, "leader"},
            {"control_role", {"election_timeout", "vote_won"}, "pre_candidate"},
            {"power", {"needed", "on_confirmed", "not_needed", "needed"}, "on"},
            {"power", {"needed", "on_confirmed", "not_needed", "drained", "off_confirmed"}, "off"},
    };
    const ChartLibrary library = ChartLibrary::embedded();
    for (const Row &row : rows) {
        CAPTURE(row.chart);
        CAPTURE(row.events.back());
        ChartInstance instance(library.chart(row.chart));
        for (const std::string &event : row.events)
            instance.fire(event);
        CHECK(instance.state() == row.state);
    }
}
