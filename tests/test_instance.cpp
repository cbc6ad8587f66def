/**
 * @file test_instance.cpp
 * Whole instance cores in virtual time: planned changes and failures, alone and together.
 */

#include "support/deployment.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t upstreamCount = 14;
constexpr std::uint32_t flowCount = 1400;

/** A deployment with the service "desk" and open flows. */
struct running_deployment : deployment
{
    explicit running_deployment(const deployment_settings &settings = {}) : deployment(settings)
    {
        createService("desk", 443, upstreamCount);
        openFlows("desk", flowCount, seconds(5));
        run(seconds(10));
    }
};

/** The invariants; flows broken by unplanned upstream deaths are not counted by the fixture. */
void checkNothingBroken(const deployment &fleet)
{
    for (const auto &event : fleet.events())
        UNSCOPED_INFO(event);
    CHECK(fleet.counts.broken == 0);
    CHECK(fleet.counts.payloadAtSecondUpstream == 0);
    CHECK(fleet.counts.wrongService == 0);
    CHECK(fleet.counts.newOnLeaving == 0);
    CHECK(fleet.counts.versionDecreased == 0);
}

} // namespace

TEST_CASE("a flow opens, carries data and closes through any instances", "[instance]")
{
    running_deployment fleet;
    CHECK(fleet.counts.opened == flowCount);
    fleet.closeFlows(1.0, seconds(5));
    fleet.run(seconds(20));
    CHECK(fleet.counts.closed == flowCount);
    checkNothingBroken(fleet);
}

TEST_CASE("a drain keeps open flows and moves new ones away", "[instance]")
{
    running_deployment fleet;
    const std::size_t before = fleet.flowsAt("desk", "u3");
    REQUIRE(before > 0);
    fleet.markLeaving("desk", "u3");
    fleet.openFlows("desk", flowCount, seconds(20));
    fleet.run(seconds(60));
    CHECK(fleet.counts.opened == 2 * flowCount);
    fleet.closeFlows(1.0, seconds(10));
    fleet.run(seconds(40));
    CHECK(fleet.flowsAt("desk", "u3") == 0);
    checkNothingBroken(fleet);
}

TEST_CASE("rolling replacement of all instances during a drain breaks no flow", "[instance]")
{
    running_deployment fleet;
    fleet.markLeaving("desk", "u3");
    fleet.run(seconds(5));
    fleet.openFlows("desk", flowCount, seconds(60));
    for (const std::uint32_t id : fleet.instanceIds()) {
        fleet.leave(id);
        fleet.run(seconds(1));
        fleet.start(static_cast<std::uint16_t>(1 + id % 3));
        fleet.run(seconds(8));
    }
    fleet.run(seconds(30));
    CHECK(fleet.counts.opened == 2 * flowCount);
    CHECK(fleet.openFlowCount() == 2 * flowCount);
    checkNothingBroken(fleet);
    CHECK(fleet.controlBytesPerSecond() < 2048);
}

TEST_CASE("the death of two instances during a drain breaks no flow", "[instance]")
{
    running_deployment fleet;
    fleet.markLeaving("desk", "u3");
    fleet.run(seconds(5));
    fleet.openFlows("desk", flowCount, seconds(20));
    fleet.run(seconds(10));
    fleet.kill(4);
    fleet.run(seconds(15));
    fleet.kill(8);
    fleet.run(seconds(60));
    checkNothingBroken(fleet);
}

TEST_CASE("new flows are refused when the last upstream leaves, open ones stay", "[instance]")
{
    running_deployment fleet;
    fleet.createService("proofs", 444, 1);
    fleet.openFlows("proofs", 50, seconds(2));
    fleet.run(seconds(10));
    fleet.markLeaving("proofs", "u1");
    fleet.run(seconds(10));
    fleet.openFlows("proofs", 20, seconds(2));
    fleet.run(seconds(20));
    CHECK(fleet.counts.refused == 20);
    CHECK(fleet.flowsAt("proofs", "u1") == 50);
    checkNothingBroken(fleet);
}

TEST_CASE("drain, deaths, joins and loss of 1% together break no flow", "[instance]")
{
    deployment_settings settings;
    settings.peerLossShare = 0.01;
    settings.seed = 7;
    running_deployment fleet(settings);
    fleet.markLeaving("desk", "u3");
    fleet.openFlows("desk", flowCount, seconds(60));
    fleet.run(seconds(8));
    fleet.leave(2);
    fleet.start(3);
    fleet.run(seconds(8));
    fleet.markLeaving("desk", "u9");
    fleet.kill(5);
    fleet.run(seconds(10));
    fleet.start(2);
    fleet.closeFlows(0.3, seconds(20));
    fleet.run(seconds(90));
    checkNothingBroken(fleet);
}
