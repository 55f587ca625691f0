#include "site/sitemetrics.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("decisions are counted by step, role and fault")
{
    MetricRegistry registry;
    SiteMetrics metrics(registry);
    RequestDecision decision;
    decision.step = "answered";
    decision.isPrimary = true;
    metrics.take(decision);
    decision.isPrimary = false;
    metrics.take(decision);
    metrics.take(decision);
    decision.step = "sent_elsewhere";
    metrics.take(decision);
    decision.step = "refused";
    decision.fault = StatementFault::Busy;
    metrics.take(decision);
    const std::string text = registry.text();
    for (const char *line : {"nutmegtide_site_sent_elsewhere_total 1", "\"primary\"} 1",
                             "\"replica\"} 2", "\"busy\"} 1"}) {
        CAPTURE(std::string(line));
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("confirmed commits are counted with their time, and unconfirmed ones apart from refusals")
{
    MetricRegistry registry;
    SiteMetrics metrics(registry);
    RequestDecision decision;
    decision.step = "answered";
    decision.withheld = 30ms;
    metrics.take(decision);
    decision.step = "unconfirmed";
    metrics.take(decision);
    metrics.take(decision);
    const std::string text = registry.text();
    for (const char *line :
         {"nutmegtide_site_withheld_seconds_count 1", "nutmegtide_site_unconfirmed_total 2"}) {
        CAPTURE(std::string(line));
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(text.find("nutmegtide_site_refused_total") == std::string::npos);
}

TEST_CASE("reads of balanced services are counted by where they were sent")
{
    MetricRegistry registry;
    SiteMetrics metrics(registry);
    metrics.setReads({5, 3, 1});
    metrics.setReads({7, 3, 2});
    const std::string text = registry.text();
    for (const char *line : {"\"own_domain\"} 7", "\"other_domain\"} 3", "\"primary\"} 2"}) {
        CAPTURE(std::string(line));
        CHECK(text.find(line) != std::string::npos);
    }
}
