#include "serve/admission.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a retry that the budget doesn't hold waits no longer than its deadline")
{
    const SettingsSource settings;
    SharedRetryBudget retries(settings);
    REQUIRE(retries.takeRetry());
    while (retries.takeRetry())
        continue;
    CHECK_FALSE(retries.waitForRetry(Clock::now() - 1s));
}

TEST_CASE("a retry that the budget holds needs no time")
{
    const SettingsSource settings;
    SharedRetryBudget retries(settings);
    CHECK(retries.waitForRetry(Clock::now() - 1s));
}
