#include "nutmegtide/statement/retrybudget.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("retries stay within their share of fresh statements")
{
    struct Row
    {
        double share;
        int mostRetries; // of 1000 fresh statements, each of which fails once
    };
    const Row rows[] = {{0, 0}, {0.1, 110}, {0.5, 510}, {1, 1000}};
    for (const Row &row : rows) {
        CAPTURE(row.share);
        RetryBudget budget(row.share);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.noteFresh();
            retries += budget.takeRetry() ? 1 : 0;
        }
        CHECK(retries <= row.mostRetries);
        CHECK(retries >= row.mostRetries - 11);
    }
}

TEST_CASE("a quiet time saves up only a few retries")
{
    RetryBudget budget(0.5);
    for (int i = 0; i < 1000; ++i)
        budget.noteFresh();
    int retries = 0;
    while (budget.takeRetry())
        ++retries;
    CHECK(retries == int(RetryBudget::MostHeld));
}
