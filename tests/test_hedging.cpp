/**
 * @file test_hedging.cpp
 * Budget of hedged opening packets.
 */

#include "hedging/hedge_budget_base.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;

TEST_CASE("The hedge budget is filled by requests, up to its limit", "[hedging]")
{
    hedge_budget budget;
    budget.recordRequest();
    CHECK_FALSE(budget.tryTake());
    budget.setPercent(10);
    for (int i = 0; i < 9; ++i)
        budget.recordRequest();
    CHECK_FALSE(budget.tryTake());
    budget.recordRequest();
    CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest();
    for (int i = 0; i < hedge_budget::maxTokens; ++i)
        CHECK(budget.tryTake());
    CHECK_FALSE(budget.hasToken());
}
