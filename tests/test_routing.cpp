/**
 * @file test_routing.cpp
 * Configuration versions and weighted selection of services.
 */

#include "entry_support.h"

#include <catch2/catch.hpp>

#include <map>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("A configuration that is not newer is rejected", "[routing]")
{
    routing_table table;
    CHECK(table.apply(makeConfig(7), 1s));
    auto older = makeConfig(6);
    older.routes.clear();
    CHECK_FALSE(table.apply(older, 2s));
    CHECK_FALSE(table.apply(makeConfig(7), 2s));
    CHECK(table.version() == 7);
    CHECK(table.appliedAt() == 1s);
    CHECK(table.find(deskAddress) != nullptr);
}

TEST_CASE("A route that a new configuration omits is no longer found", "[routing]")
{
    routing_table table;
    table.apply(makeConfig(1), 0s);
    auto next = makeConfig(2);
    next.routes.pop_back();
    table.apply(next, 1s);
    CHECK(table.find(proofsAddress) == nullptr);
    CHECK(table.find({deskAddress.address, 80}) == nullptr);
    CHECK(table.find(deskAddress)->name == "desk");
}

TEST_CASE("New flows are split between services by weight, and a flow always gets the same one",
          "[routing]")
{
    route split;
    split.targets = {{"desk", 90}, {"proofs", 10}, {"unused", 0}};
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 10000; ++i) {
        const auto hash = mixHash(i, 5);
        ++counts[routing_table::selectService(split, hash)];
        CHECK(routing_table::selectService(split, hash)
              == routing_table::selectService(split, hash));
    }
    CHECK(counts["proofs"] > 850);
    CHECK(counts["proofs"] < 1150);
    CHECK(counts["unused"] == 0);
}

TEST_CASE("Connection limits that an older build left out are added later", "[routing]")
{
    // Guards against a fleet that stays without limits after an upgrade until the next version.
    routing_table routes;
    routing_config config;
    config.version = 7;
    REQUIRE(routes.apply(config, 1s));
    config.maxConnections = {{"desk", 40}};
    CHECK_FALSE(routes.apply(config, 2s));
    CHECK(routes.config().maxConnections == config.maxConnections);
    config.maxConnections = {{"desk", 50}};
    CHECK_FALSE(routes.apply(config, 3s));
    CHECK(routes.config().maxConnections.at("desk") == 40);
    CHECK(routes.appliedAt() == 1s);
}

TEST_CASE("A route whose weights are all 0 uses its first service", "[routing]")
{
    route split;
    split.targets = {{"desk", 0}, {"proofs", 0}};
    CHECK(routing_table::selectService(split, 12345) == "desk");
}
