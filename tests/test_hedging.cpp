/**
 * @file test_hedging.cpp
 * Hedged opening packets: budget, delay, and the cases in which no hedge is sent.
 */

#include "entry/packet_processor_base.h"
#include "forward/forwarder_base.h"
#include "hedging/hedge_budget_base.h"
#include "hedging/opening_hedger_base.h"
#include "state_support.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr opening_bytes noBytes {};

/** An instance in domain "a" with hedging on, and three upstreams of the service "desk". */
struct hedging_fixture : state_fixture
{
    hedging_fixture()
    {
        routes.apply(makeConfig(1), 0s);
        for (int i = 0; i < 3; ++i)
            directory.announce(makeUpstream("i-d" + std::to_string(i), "desk", "a"), 0s);
        directory.announce(makeUpstream("i-e0", "proofs", "a"), 0s);
        dataPath.setHedgingPolicy({10});
    }

    packet_decision decide(const caller_packet &packet, monotonic_time now)
    {
        const auto decision = dataPath.decide(packet, true, now);
        if (decision.isHedgeable)
            dataPath.scheduleHedge(packet, decision.upstream->id, noBytes, now);
        return decision;
    }

    /** Sends requests on one open flow; ten of them grant a token. */
    void sendRequests(unsigned count)
    {
        const auto opened = decide(makeOpening(9999), 1s);
        for (unsigned i = 0; i < count; ++i)
            decide(makeData(9999, opened.tag, 11000 + 100 * i, 1 + 100 * i, 100), 1005ms);
    }

    std::optional<hedged_opening> takeHedge(monotonic_time now, bool isTimingReliable = true)
    {
        return dataPath.takeHedge(isTimingReliable, now);
    }

    upstream_health health {directory, "f-1", "a"};
    latency_exchange latencies {directory, placement};
    forwarder dataPath {routes, directory, placement, health, latencies};
};

} // namespace

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

TEST_CASE("The hedging delay is the 95th percentile of recent openings within its limits",
          "[hedging]")
{
    opening_time_tracker openings;
    const auto add = [&](int count, monotonic_time time) {
        for (int i = 0; i < count; ++i)
            openings.add(time);
    };
    add(19, 5ms);
    CHECK(openings.delay() == opening_time_tracker::initialDelay);
    add(1, 5ms);
    CHECK(openings.delay() == opening_time_tracker::minDelay);
    add(256 - 13, 60ms);
    add(13, 2s);
    CHECK(openings.delay() == opening_time_tracker::maxDelay);
    add(256 - 12, 60ms);
    add(12, 2s);
    CHECK(openings.delay() == 61ms);
}

TEST_CASE("The queue of pending hedges is bounded, and an old entry is never due", "[hedging]")
{
    // Guards against memory growth, and against hedges that arrive with the caller's own copy.
    opening_hedger hedger;
    CHECK_FALSE(hedger.add({}));
    hedger.setEnabled(true);
    for (std::size_t i = 0; i < opening_hedger::maxPending; ++i)
        REQUIRE(hedger.add({{}, 0, noUpstream, 1s, {}}));
    CHECK_FALSE(hedger.add({{}, 0, noUpstream, 1s, {}}));
    CHECK_FALSE(hedger.takeDue(1079ms));
    CHECK(hedger.takeDue(1080ms));
    CHECK_FALSE(hedger.takeDue(1181ms));
    CHECK(hedger.size() == 0);
}

TEST_CASE("First upstream dead: the flow opens at the second after the hedging delay", "[hedging]")
{
    hedging_fixture fixture;
    fixture.sendRequests(10);
    const auto first = fixture.decide(makeOpening(1), 2s);
    CHECK(fixture.dataPath.nextHedgeDueAt() == 2080ms);
    CHECK_FALSE(fixture.takeHedge(2079ms));
    const auto hedge = fixture.takeHedge(2080ms);
    REQUIRE(hedge);
    CHECK(hedge->first == first.upstream);
    CHECK(hedge->decision.upstream != first.upstream);
    CHECK(hedge->decision.action == packet_action::Forward);
    CHECK(hedge->delay == 80ms);
    const auto steered = fixture.decide(makeData(1, hedge->decision.tag, 1001, 500, 90), 2085ms);
    CHECK(steered.upstream == hedge->decision.upstream);
    CHECK(steered.reason == packet_reason::Steered);
    CHECK_FALSE(fixture.takeHedge(2170ms));
    // A hedge is not evidence: an upstream may be slow, and one datagram may be lost.
    CHECK(fixture.placement.countSuspected(2085ms) == 0);
}

TEST_CASE("Both upstreams answer: packets with the other's tag go to the holder", "[hedging]")
{
    // Guards against a reset by the upstream that the caller did not open the flow at.
    hedging_fixture fixture;
    fixture.sendRequests(10);
    const auto first = fixture.decide(makeOpening(1), 2s);
    const auto hedge = fixture.takeHedge(2080ms);
    REQUIRE(hedge);
    const bool isOpenAtFirst = GENERATE(false, true);
    const auto &holder = isOpenAtFirst ? first : hedge->decision;
    const auto &other = isOpenAtFirst ? hedge->decision : first;
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 2085ms);
    const auto request = fixture.decide(makeData(1, other.tag, 1091, 900, 90), 2200ms);
    CHECK(request.upstream == holder.upstream);
    CHECK(request.reason == packet_reason::TagReplaced);
}

TEST_CASE("Second upstream dead as well: the caller's copy goes to a third", "[hedging]")
{
    hedging_fixture fixture;
    fixture.sendRequests(10);
    const auto first = fixture.decide(makeOpening(1), 2s);
    const auto hedge = fixture.takeHedge(2080ms);
    REQUIRE(hedge);
    SECTION("the copy is evidence against the first upstream only")
    {
        const auto third = fixture.decide(makeOpening(1, 1), 2200ms);
        CHECK(third.reason == packet_reason::PlacedAgain);
        CHECK(third.upstream != first.upstream);
        CHECK(third.upstream != hedge->decision.upstream);
        CHECK(third.unansweredBy == first.upstream);
        CHECK(fixture.placement.isSuspected(first.upstream->id, 2200ms));
        CHECK_FALSE(fixture.placement.isSuspected(hedge->decision.upstream->id, 2200ms));
        // The upstreams of all transmissions are known when their answers come late.
        const auto last = fixture.decide(makeOpening(1, 2), 2600ms);
        fixture.decide(makeData(1, first.tag, 1001, 500, 90), 2610ms);
        const auto late = fixture.decide(makeData(1, last.tag, 1091, 900, 90), 2620ms);
        CHECK(late.upstream == first.upstream);
    }
    SECTION("without a third one it goes to the second")
    {
        for (const upstream_record *record : fixture.directory.records()) {
            if (record != first.upstream && record != hedge->decision.upstream)
                fixture.directory.withdraw(record->announced.name, false, 2100ms);
        }
        // With either of the two next in turn.
        if (GENERATE(false, true))
            fixture.decide(makeOpening(2), 2150ms);
        CHECK(fixture.decide(makeOpening(1, 1), 2200ms).upstream == hedge->decision.upstream);
    }
}

TEST_CASE("Hedges do not hide a dead upstream from the placement", "[hedging]")
{
    // Guards against a dead upstream that keeps its share of new flows: flows that open at the
    // second upstream send no copies, and a hedge is not evidence.
    hedging_fixture fixture;
    fixture.sendRequests(100);
    const auto *dead = fixture.decide(makeOpening(1), 2s).upstream;
    unsigned hedges = 0;
    unsigned copies = 0;
    // Opens flows with every upstream but the dead one, in turn.
    const auto openFlows = [&](std::uint16_t from, std::uint16_t to) {
        for (std::uint16_t port = from; port <= to; ++port) {
            const auto at = 2s + port * 700ms;
            auto opened = fixture.decide(makeOpening(port), at);
            if (opened.upstream == dead) {
                if (const auto hedge = fixture.takeHedge(at + 150ms)) {
                    ++hedges;
                    opened = hedge->decision;
                } else {
                    ++copies;
                    opened = fixture.decide(makeOpening(port, 1), at + 200ms);
                    CHECK(opened.unansweredBy == dead);
                    CHECK(fixture.placement.isSuspected(dead->id, at + 200ms));
                    if (opened.upstream == dead)
                        opened = fixture.decide(makeOpening(port, 2), at + 600ms);
                }
            }
            REQUIRE(opened.upstream != dead);
            fixture.decide(makeData(port, opened.tag, 1000U + port, 500, 0), at + 605ms);
        }
    };
    openFlows(2, 40);
    CHECK(hedges == opening_hedger::maxUnansweredHedges);
    CHECK(copies > 0);
    // After a flow has opened there, further ones may be hedged.
    fixture.decide(makeOpening(50), 40s);
    const auto deadTag = bindTag(dead->tag, deskAddress);
    fixture.decide(makeData(50, deadTag, 1051, 500, 0), 40005ms);
    openFlows(60, 80);
    CHECK(hedges == 2 * opening_hedger::maxUnansweredHedges);
}

TEST_CASE("Budget used up: an opening packet is not hedged, which is counted", "[hedging]")
{
    hedging_fixture fixture;
    fixture.sendRequests(9);
    fixture.decide(makeOpening(1), 2s);
    CHECK_FALSE(fixture.takeHedge(2080ms));
    CHECK(fixture.dataPath.hedgesRefused() == 1);
}

TEST_CASE("Cases in which an opening packet is not hedged", "[hedging]")
{
    hedging_fixture fixture;
    bool isReliable = true;
    fixture.sendRequests(10);
    SECTION("policy off")
    {
        fixture.decide(makeOpening(1), 2s);
        fixture.dataPath.setHedgingPolicy({0});
        CHECK_FALSE(fixture.decide(makeOpening(2), 2s).isHedgeable);
        CHECK(fixture.dataPath.hedgingDelay() == 0ms);
    }
    SECTION("non-idempotent route")
    {
        auto config = makeConfig(2);
        config.routes[0].isIdempotent = false;
        fixture.routes.apply(config, 2s);
        CHECK_FALSE(fixture.decide(makeOpening(1), 2s).isHedgeable);
    }
    SECTION("retransmitted copy of a packet that another instance placed")
    {
        CHECK_FALSE(fixture.decide(makeOpening(1, 1), 2s).isHedgeable);
    }
    SECTION("conditions that change before the hedge")
    {
        const auto first = fixture.decide(makeOpening(1), 2s);
        REQUIRE(first.isHedgeable);
        SECTION("service overloaded")
        {
            fixture.dataPath.setOverloadCheck(
                [](const std::string &service) { return service == "desk"; });
        }
        SECTION("only one upstream")
        {
            for (const upstream_record *record : fixture.directory.records()) {
                if (record != first.upstream)
                    fixture.directory.withdraw(record->announced.name, false, 2s);
            }
        }
        SECTION("all others suspected")
        {
            for (const upstream_record *record : fixture.directory.records()) {
                if (record != first.upstream)
                    fixture.placement.markSuspected(record->id, false, 2s);
            }
        }
        SECTION("others missing")
        {
            for (const upstream_record *record : fixture.directory.records()) {
                if (record != first.upstream)
                    fixture.directory.withdraw(record->announced.name, true, 2s);
            }
        }
        SECTION("instance late or suspended")
        {
            isReliable = false;
        }
        SECTION("flow open")
        {
            fixture.decide(makeData(1, first.tag, 1001, 500, 0), 2010ms);
        }
        SECTION("flow closed or reset")
        {
            auto last = makeData(1, first.tag, 1001, 500, 0);
            (GENERATE(false, true) ? last.isReset : last.isClosing) = true;
            fixture.decide(last, 2010ms);
        }
        SECTION("port reused by a new flow")
        {
            auto reused = makeOpening(1);
            reused.sequence += 5000;
            // Three upstreams take turns, so the new flow gets the same one.
            fixture.decide(makeOpening(2), 2060ms);
            fixture.decide(makeOpening(3), 2060ms);
            REQUIRE(fixture.decide(reused, 2060ms).upstream == first.upstream);
            CHECK(fixture.dataPath.nextHedgeDueAt() == 2140ms);
        }
        SECTION("copy sent to the same upstream")
        {
            REQUIRE(fixture.decide(makeOpening(1, 1), 2150ms).reason == packet_reason::Repeated);
            CHECK_FALSE(fixture.takeHedge(2150ms));
        }
        SECTION("copy placed on another upstream")
        {
            fixture.placement.recordConnectFailure(first.upstream->id, 2100ms);
            REQUIRE(fixture.decide(makeOpening(1, 1), 2150ms).reason == packet_reason::PlacedAgain);
            fixture.decide(makeOpening(1, 1), 2150ms);
            CHECK_FALSE(fixture.takeHedge(2150ms));
        }
        SECTION("route removed, given another target or no longer idempotent")
        {
            auto config = makeConfig(2);
            const int change = GENERATE(0, 1, 2);
            if (change == 0)
                config.routes.erase(config.routes.begin());
            else if (change == 1)
                config.routes[0].targets = {{"proofs", 1}};
            else
                config.routes[0].isIdempotent = false;
            fixture.routes.apply(config, 2010ms);
        }
    }
    CHECK_FALSE(fixture.takeHedge(2080ms, isReliable));
    CHECK(fixture.dataPath.hedgesRefused() == 0);
}

TEST_CASE("A hedge is sent with the second upstream's prefix, counted, and not sent when late",
          "[hedging]")
{
    hedging_fixture fixture;
    fixture.sendRequests(10);
    fixture.directory.announce(makeUpstream("i-d3", "desk", "a"), 0s);
    entry_metrics metrics;
    packet_log log {fixture.log, fixture.routes, fixture.state};
    suspension_detector detector {1900ms};
    std::vector<endpoint> targets;
    packet_processor processor {{fixture.dataPath, fixture.state, detector, metrics, log},
                                443,
                                3s,
                                [&](const endpoint &target, std::span<const std::byte> datagram) {
                                    CHECK(datagram.size() == openingPacketBytes + 8);
                                    targets.push_back(target);
                                }};
    fixture.decide(makeOpening(1), 2s);
    SECTION("on time")
    {
        detector.recordActivity(2080ms);
        processor.sendDueHedges(true);
        REQUIRE(targets.size() == 1);
        CHECK(metrics.packets[static_cast<std::size_t>(packet_reason::Hedged)] == 1);
    }
    SECTION("packets are left in the socket")
    {
        detector.recordActivity(2080ms);
        processor.sendDueHedges(false);
        CHECK(targets.empty());
    }
    SECTION("after a suspension")
    {
        detector = suspension_detector(1500ms);
        detector.recordActivity(2080ms);
        processor.sendDueHedges(true);
        CHECK(targets.empty());
    }
    SECTION("after a late tick")
    {
        detector.recordActivity(2080ms);
        detector.recordTick(1900ms, 2080ms);
        processor.sendDueHedges(true);
        CHECK(targets.empty());
    }
}
