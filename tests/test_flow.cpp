/**
 * @file test_flow.cpp
 * Flow table: bounds, eviction, expiry and counts.
 */

#include "flow/flow_base.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;

namespace {

constexpr upstream_id upstreamA {1};
constexpr upstream_id upstreamB {2};
constexpr flow_time second = flowDuration(std::chrono::seconds(1));

} // namespace

TEST_CASE("the flow table finds every flow up to its bound", "[flow]")
{
    // Guards against eviction of flows while the table has room.
    constexpr std::size_t maxFlows = 100'000;
    flow_table table(maxFlows);
    std::mt19937_64 random(7);
    std::vector<flow_hash> hashes;
    for (std::size_t count = 0; count < maxFlows; ++count) {
        hashes.push_back(random());
        table.insert(hashes.back(), upstreamA, flow_state::Established, 0);
    }
    std::size_t found = 0;
    for (const flow_hash hash : hashes)
        found += table.find(hash) ? 1 : 0;
    CHECK(found == table.size());
    CHECK(table.evictions() < maxFlows / 100);
    CHECK(table.memoryBytes() <= maxFlows * 64);
}

TEST_CASE("the flow table stays within its bound and evicts idle flows first", "[flow]")
{
    // Guards against a flood of new flows that pushes out the flows in use.
    constexpr std::size_t maxFlows = 4096;
    flow_table table(maxFlows);
    std::mt19937_64 random(11);
    std::vector<flow_hash> inUse;
    for (std::size_t count = 0; count < 256; ++count)
        inUse.push_back(random());
    flow_time now = 0;
    for (std::size_t count = 0; count < 20 * maxFlows; ++count) {
        table.insert(random(), upstreamA, flow_state::Opening, ++now);
        const flow_hash hash = inUse[count % inUse.size()];
        if (flow_entry *entry = table.find(hash))
            entry->seenAt = now;
        else if (count < inUse.size())
            table.insert(hash, upstreamB, flow_state::Established, now);
        REQUIRE(table.size() <= maxFlows);
    }
    std::size_t kept = 0;
    for (const flow_hash hash : inUse)
        kept += table.find(hash) ? 1 : 0;
    CHECK(kept == inUse.size());
}

TEST_CASE("flows expire by their protocol state", "[flow]")
{
    // Guards against half-open flows that hold room for hours, and open ones that are forgotten.
    flow_table table(64);
    table.insert(1, upstreamA, flow_state::Opening, 0);
    table.insert(2, upstreamA, flow_state::Closing, 0);
    table.insert(3, upstreamA, flow_state::Datagram, 0);
    table.insert(4, upstreamA, flow_state::Established, 0);
    const auto sizeAt = [&](flow_time now) {
        table.expire(now, table.groupCount());
        return table.size();
    };
    CHECK(sizeAt(29 * second) == 4);
    CHECK(sizeAt(30 * second) == 3);
    CHECK(sizeAt(60 * second) == 2);
    CHECK(sizeAt(300 * second) == 1);
    CHECK(sizeAt(4 * 3600 * second - 1) == 1);
    CHECK(sizeAt(4 * 3600 * second) == 0);
}

TEST_CASE("idle time is right when the flow time wraps", "[flow]")
{
    // Guards against mass expiry after 497 days of uptime.
    flow_table table(64);
    const flow_time start = 0U - second;
    table.insert(1, upstreamA, flow_state::Opening, start);
    CHECK(table.expire(start + 2 * second, table.groupCount()) == 0);
    CHECK(table.expire(start + 30 * second, table.groupCount()) == 1);
}

TEST_CASE("counts per upstream follow moves, replacement and removal", "[flow]")
{
    // Guards against a drained upstream that appears to hold flows, or the reverse.
    flow_table table(64);
    table.insert(1, upstreamA, flow_state::Established, 0);
    table.insert(2, upstreamA, flow_state::Established, 0);
    table.insert(2, upstreamB, flow_state::Established, 0);
    using counts = std::vector<std::pair<upstream_id, std::uint32_t>>;
    CHECK(table.countFlows() == counts {{upstreamA, 1}, {upstreamB, 1}});
    table.setUpstream(*table.find(1), upstreamB);
    CHECK(table.countFlows() == counts {{upstreamB, 2}});
    table.erase(*table.find(2));
    CHECK(table.countFlows() == counts {{upstreamB, 1}});
}
