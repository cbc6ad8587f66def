/**
 * @file test_forwarder.cpp
 * Decisions about opening packets, their retransmissions and packets of open flows.
 */

#include "forwarder_support.h"

#include <catch2/catch.hpp>

#include <set>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("Packets of an open flow reach its upstream through any instance", "[forwarder]")
{
    // Guards against flows that break when the fabric moves their packets to another instance.
    forwarder_fixture first;
    forwarder_fixture second;
    for (std::uint16_t port = 1; port <= 50; ++port) {
        const auto opened = first.decide(makeOpening(port), 1s);
        REQUIRE(opened.action == packet_action::Forward);
        const auto data = makeData(port, opened.tag, 1, 1, 100);
        for (forwarder_fixture *instance : {&first, &second}) {
            const auto steered = instance->decide(data, 2s);
            REQUIRE(steered.action == packet_action::Forward);
            CHECK(steered.upstream->announced.name == opened.upstream->announced.name);
            CHECK(steered.tag == opened.tag);
            CHECK(steered.reason == packet_reason::Steered);
        }
    }
}

TEST_CASE("An open flow keeps its upstream when that drains or is removed, or the route changes",
          "[forwarder]")
{
    forwarder_fixture fixture;
    const auto opened = fixture.decide(makeOpening(1), 1s);
    const std::string name = opened.upstream->announced.name;
    SECTION("the upstream drains")
    {
        auto announced = opened.upstream->announced;
        announced.isDraining = true;
        fixture.directory.announce(announced, 2s);
    }
    SECTION("the upstream's announcement is removed")
    {
        fixture.directory.withdraw(name, false, 2s);
        fixture.directory.expire(30s);
    }
    SECTION("the route targets another service")
    {
        auto config = makeConfig(2);
        config.routes[0].targets = {{"proofs", 1}};
        fixture.routes.apply(config, 2s);
    }
    const auto steered = fixture.decide(makeData(1, opened.tag, 1, 1, 10), 31s);
    REQUIRE(steered.action == packet_action::Forward);
    CHECK(steered.upstream->announced.name == name);
}

TEST_CASE("New flows go only to upstreams of the route's service", "[forwarder]")
{
    forwarder_fixture fixture;
    for (std::uint16_t port = 1; port <= 100; ++port) {
        CHECK(fixture.decide(makeOpening(port), 1s).upstream->announced.service == "desk");
        CHECK(fixture.decide(makeOpening(port, 0, proofsAddress), 1s).upstream->announced.service
              == "proofs");
    }
}

TEST_CASE("Packets with a tag of another service address, an unknown tag or no tag are dropped",
          "[forwarder]")
{
    // Guards against packets that reach an upstream of another service.
    forwarder_fixture fixture;
    const auto opened = fixture.decide(makeOpening(1), 1s);
    const auto moved = fixture.decide(makeData(1, opened.tag, 1, 1, 10, proofsAddress), 1s);
    CHECK(moved.action == packet_action::Drop);
    CHECK(moved.reason == packet_reason::UnknownTag);
    CHECK(fixture.decide(makeData(1, 0x12345678, 1, 1, 10), 1s).reason
          == packet_reason::UnknownTag);
    CHECK(fixture.decide(makeData(1, noTag, 1, 1, 10), 1s).reason == packet_reason::NoTag);
}

TEST_CASE("Packets that look like an upstream's answer are dropped", "[forwarder]")
{
    forwarder_fixture fixture;
    auto packet = makeOpening(1);
    packet.isFromUpstream = true;
    CHECK(fixture.decide(packet, 1s).reason == packet_reason::FromUpstream);
}

TEST_CASE("A lost answer to an opening packet gives the flow no second upstream", "[forwarder]")
{
    // Guards against two upstreams that both accept a flow: the caller keeps the tag of the last
    // answer, and an instance that did not see the flow being opened follows it.
    forwarder_fixture fixture;
    const auto first = fixture.decide(makeOpening(1), 1s);
    const auto soon = fixture.decide(makeOpening(1, 1), 1140ms);
    CHECK(soon.upstream == first.upstream);
    CHECK(soon.reason == packet_reason::Repeated);
    CHECK(soon.unansweredBy == nullptr);
    const auto second = fixture.decide(makeOpening(1, 1), 1200ms);
    CHECK(second.upstream == first.upstream);
    CHECK(second.reason == packet_reason::Repeated);
    CHECK(second.unansweredBy == first.upstream);
    CHECK(second.isNewlySuspected);
    SECTION("new flows avoid the upstream until it answers")
    {
        for (std::uint16_t port = 2; port <= 20; ++port)
            CHECK(fixture.decide(makeOpening(port), 1201ms).upstream != first.upstream);
        const auto opened = fixture.decide(makeData(1, first.tag, 1001, 500, 0), 1202ms);
        CHECK(opened.upstream == first.upstream);
        CHECK(opened.isNewlyTrusted);
        CHECK(fixture.placement.countSuspected(1203ms) == 0);
    }
    SECTION("a further copy goes to another upstream")
    {
        const auto third = fixture.decide(makeOpening(1, 2), 1600ms);
        CHECK(third.upstream != first.upstream);
        CHECK(third.reason == packet_reason::PlacedAgain);
        CHECK(third.unansweredBy == first.upstream);
    }
}

TEST_CASE("Upstream that does not answer: the first copy of an opening packet goes to another",
          "[forwarder]")
{
    // Guards against flows that wait for a dead or full upstream although other flows have shown
    // that it does not answer.
    forwarder_fixture fixture;
    const auto first = fixture.decide(makeOpening(1), 1s);
    const upstream_id avoided = first.upstream->id;
    SECTION("another flow's opening packet is unanswered")
    {
        fixture.placement.recordConnectFailure(avoided, 1100ms);
    }
    SECTION("other instances report it")
    {
        fixture.placement.markSuspected(avoided, true, 1100ms);
    }
    SECTION("requests are unanswered")
    {
        fixture.health.noteAnswered(fixture.directory.records().back()->id, 800ms);
        fixture.health.noteRetransmission(avoided, {packet_kind::Request, 700ms, 700ms}, 1s);
        fixture.health.noteRetransmission(avoided, {packet_kind::Request, 700ms, 700ms}, 1s);
        fixture.health.evaluate(1100ms);
        REQUIRE(fixture.health.healthOf(avoided) == health_state::Silent);
    }
    SECTION("the upstream is gone")
    {
        fixture.directory.withdraw(first.upstream->announced.name, false, 1100ms);
    }
    const auto second = fixture.decide(makeOpening(1, 1), 1200ms);
    CHECK(second.upstream != first.upstream);
    CHECK(second.reason == packet_reason::PlacedAgain);
    const auto third = fixture.decide(makeOpening(1, 2), 1600ms);
    CHECK(third.upstream != first.upstream);
    CHECK(third.upstream != second.upstream);
    CHECK(third.unansweredBy == second.upstream);
    CHECK(fixture.placement.isSuspected(second.upstream->id, 1600ms));
}

TEST_CASE("An opening packet lost on the path to another domain makes its upstreams unreliable",
          "[forwarder]")
{
    // Guards against flows that wait for a path that lost the opening packets of others.
    forwarder_fixture fixture;
    const auto lost = fixture.directory.announce(makeUpstream("i-r0", "desk", "b"), 0s).id;
    const auto other = fixture.directory.announce(makeUpstream("i-r1", "desk", "b"), 0s).id;
    CHECK_FALSE(fixture.placement.isUnreliable(other, 1s));
    fixture.placement.recordConnectFailure(lost, 1s);
    CHECK(fixture.placement.isUnreliable(lost, 1100ms));
    CHECK(fixture.placement.isUnreliable(other, 1100ms));
    fixture.placement.recordConnectSuccess(other);
    CHECK_FALSE(fixture.placement.isUnreliable(other, 1200ms));
    CHECK(fixture.placement.isUnreliable(lost, 1200ms));
}

TEST_CASE("A flow stays at its upstream when a second one answers its opening packet",
          "[forwarder]")
{
    // Guards against a reset by an upstream that does not hold the flow: the answer to the first
    // opening packet is lost, the copy goes to another upstream, and both repeat their answers
    // until one is acknowledged. The caller keeps the tag of the last answer.
    forwarder_fixture fixture;
    const auto [first, second] = fixture.placeAtTwo();
    REQUIRE(second.upstream != first.upstream);
    const bool isOpenAtFirst = GENERATE(false, true);
    CAPTURE(isOpenAtFirst);
    const auto &holder = isOpenAtFirst ? first : second;
    const auto &other = isOpenAtFirst ? second : first;
    fixture.decide(makeData(1, holder.tag, 1001, 500, 0), 1210ms);
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 1211ms);
    const auto acknowledgement = fixture.decide(makeData(1, other.tag, 1091, 900, 0), 1300ms);
    CHECK(acknowledgement.upstream == holder.upstream);
    CHECK(acknowledgement.tag == holder.tag);
    const auto request = fixture.decide(makeData(1, other.tag, 1091, 900, 90), 8s);
    CHECK(request.upstream == holder.upstream);
    CHECK(request.tag == holder.tag);
    CHECK(request.reason == packet_reason::TagReplaced);
    CHECK(request.isFirstRequestPacket);
    SECTION("a packet that was overtaken goes there as well")
    {
        const auto overtaken = fixture.decide(makeData(1, other.tag, 1091, 500, 0), 8010ms);
        CHECK(overtaken.upstream == holder.upstream);
    }
    SECTION("a packet of another flow on the same port follows its tag")
    {
        const auto late = fixture.decide(makeData(1, other.tag, 1091, 400'000'000, 0), 9s);
        CHECK(late.upstream == other.upstream);
    }
    SECTION("the upstream that holds it is gone")
    {
        fixture.directory.withdraw(holder.upstream->announced.name, false, 9s);
        const auto later = fixture.decide(makeData(1, other.tag, 1181, 1300, 0), 9s);
        CHECK(later.upstream == holder.upstream);
    }
}

TEST_CASE("Two answers before the first request: it reaches the upstream that the flow is open at",
          "[forwarder]")
{
    // Guards against a flow that stays at the wrong upstream: its first packet has the tag of the
    // second answer, but acknowledges the first one.
    forwarder_fixture fixture;
    const auto [holder, other] = fixture.placeAtTwo();
    REQUIRE(other.upstream != holder.upstream);
    fixture.decide(makeData(1, other.tag, 1001, 500, 90), 1210ms);
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 1410ms);
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 1810ms);
    const auto repeated = fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 2610ms);
    CHECK(repeated.upstream == holder.upstream);
    const auto answered = fixture.decide(makeData(1, holder.tag, 1091, 900, 0), 2630ms);
    CHECK(answered.upstream == holder.upstream);
    const auto request = fixture.decide(makeData(1, other.tag, 1091, 900, 90), 4s);
    CHECK(request.upstream == holder.upstream);
    CHECK(request.reason == packet_reason::TagReplaced);
}

TEST_CASE("A repeated answer does not move a flow whose first request is lost", "[forwarder]")
{
    // Guards against a reset by the other upstream while the request is sent again.
    forwarder_fixture fixture;
    const auto [holder, other] = fixture.placeAtTwo();
    fixture.decide(makeData(1, holder.tag, 1001, 500, 0), 1210ms);
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 1211ms);
    for (const auto at : {1411ms, 1811ms}) {
        const auto repeated = fixture.decide(makeData(1, other.tag, 1001, 500, 90), at);
        CHECK(repeated.upstream == holder.upstream);
        CHECK(repeated.tag == holder.tag);
    }
}

TEST_CASE("An instance that took a flow over keeps it at the upstream that answered", "[forwarder]")
{
    // Guards against a flow that follows a second answer because this instance did not see it being
    // opened, or saw only a copy of its opening packet and sent that to another upstream.
    forwarder_fixture fixture;
    const auto holder = fixture.decide(makeOpening(7), 900ms);
    auto other = fixture.decide(makeOpening(8), 900ms);
    REQUIRE(other.upstream != holder.upstream);
    if (GENERATE(false, true)) {
        fixture.placement.recordConnectFailure(holder.upstream->id, 900ms);
        other = fixture.decide(makeOpening(1, 1), 1s);
        REQUIRE(other.upstream != holder.upstream);
    }
    fixture.decide(makeData(1, holder.tag, 1001, 500, 90), 1010ms);
    fixture.decide(makeData(1, holder.tag, 1091, 900, 0), 1030ms);
    const auto request = fixture.decide(makeData(1, other.tag, 1091, 900, 90), 8s);
    CHECK(request.upstream == holder.upstream);
    CHECK(request.reason == packet_reason::TagReplaced);
    // Another flow on the same port.
    const auto late = fixture.decide(makeData(1, other.tag, 600'000'000, 900, 90), 9s);
    CHECK(late.upstream == other.upstream);
}

TEST_CASE("A late retransmission of an opening packet goes to the open flow's upstream",
          "[forwarder]")
{
    forwarder_fixture fixture;
    const auto opened = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, opened.tag, 1, 1, 0), 1010ms);
    const auto copy = fixture.decide(makeOpening(1, 1), 1300ms);
    CHECK(copy.upstream == opened.upstream);
    CHECK(fixture.placement.countSuspected(1300ms) == 0);
}

TEST_CASE("A retransmitted opening packet does not go to an upstream that started to drain",
          "[forwarder]")
{
    // Guards against an opening packet that reaches a draining upstream after the time within which
    // it must no longer get new flows.
    forwarder_fixture fixture;
    const auto first = fixture.decide(makeOpening(1), 1s);
    auto announced = first.upstream->announced;
    announced.isDraining = true;
    fixture.directory.announce(announced, 1050ms);
    const auto copy = fixture.decide(makeOpening(1, 1), 1100ms);
    CHECK(copy.upstream != first.upstream);
}

TEST_CASE("A reused port opens a new flow", "[forwarder]")
{
    forwarder_fixture fixture;
    const auto first = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, first.tag, 1, 1, 0), 1010ms);
    auto again = makeOpening(1);
    again.sequence += 5000;
    CHECK(fixture.decide(again, 2s).reason == packet_reason::Placed);
}

TEST_CASE("A new flow is refused with a reset only when the state is fresh", "[forwarder]")
{
    // Guards against a reset for a route that was added while this instance got no updates.
    forwarder_fixture fixture;
    const auto unknown = makeOpening(1, 0, {0xc6120009, 1});
    CHECK(fixture.decide(unknown, 1s, true).action == packet_action::Reset);
    CHECK(fixture.decide(unknown, 1s, false).action == packet_action::Drop);
    CHECK(fixture.decide(unknown, 1s, false).reason == packet_reason::NoRoute);

    for (int i = 0; i < 2; ++i)
        fixture.directory.withdraw("i-e" + std::to_string(i), false, 1s);
    const auto refused = fixture.decide(makeOpening(2, 0, proofsAddress), 1s, true);
    CHECK(refused.action == packet_action::Reset);
    CHECK(refused.reason == packet_reason::NoUpstream);
}

TEST_CASE("The latency from a request to the acknowledgement of its answer is measured",
          "[forwarder]")
{
    forwarder_fixture fixture;
    const auto opened = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, opened.tag, 1001, 500, 0), 1010ms);
    const auto request = fixture.decide(makeData(1, opened.tag, 1001, 500, 300), 2s);
    CHECK(request.isFirstRequestPacket);
    CHECK(request.latency == 0s);
    // The same data again is a retransmission and starts no new request.
    const auto again = fixture.decide(makeData(1, opened.tag, 1001, 500, 300), 2200ms);
    CHECK_FALSE(again.isFirstRequestPacket);
    CHECK(again.unansweredFor == 200ms);
    CHECK(fixture.decide(makeData(1, opened.tag, 1301, 900, 0), 2500ms).latency == 500ms);
    CHECK(fixture.decide(makeData(1, opened.tag, 1301, 1400, 0), 2600ms).latency == 0s);
    CHECK(fixture.decide(makeData(1, opened.tag, 1301, 1400, 300), 3s).isFirstRequestPacket);
}

TEST_CASE("Flows beyond the capacity of the flow table are steered without being tracked",
          "[forwarder]")
{
    forwarder_fixture fixture;
    forwarder_settings settings;
    settings.maxTrackedFlows = 10;
    forwarder dataPath(fixture.routes, fixture.directory, fixture.placement, fixture.health,
                       fixture.latencies, settings);
    for (std::uint16_t port = 1; port <= 40; ++port) {
        const auto opened = dataPath.decide(makeOpening(port), true, 1s);
        REQUIRE(opened.action == packet_action::Forward);
        CHECK(dataPath.decide(makeData(port, opened.tag, 1, 1, 9), true, 1s).action
              == packet_action::Forward);
    }
    CHECK(dataPath.countTrackedFlows() == 10);
    dataPath.expire(17s);
    CHECK(dataPath.countTrackedFlows() == 0);
}

TEST_CASE("The start and the end of an upstream's suspicion are each reported once", "[forwarder]")
{
    // Guards against a log that does not show since when an upstream gets no new flows.
    forwarder_fixture fixture;
    const auto first = fixture.decide(makeOpening(1), 1s);
    CHECK_FALSE(first.isNewlySuspected);
    const auto copy = fixture.decide(makeOpening(1, 1), 1200ms);
    REQUIRE(copy.reason == packet_reason::Repeated);
    CHECK(copy.isNewlySuspected);
    CHECK(copy.unansweredBy == first.upstream);
    CHECK_FALSE(copy.isNewlyTrusted);

    const auto opened = fixture.decide(makeOpening(2), 1210ms);
    REQUIRE(opened.upstream != first.upstream);
    const auto answered = fixture.decide(makeData(2, opened.tag, 1, 1, 0), 1220ms);
    CHECK_FALSE(answered.isNewlyTrusted);

    const auto late = fixture.decide(makeData(1, first.tag, 1, 1, 0), 1230ms);
    CHECK(late.isNewlyTrusted);
    CHECK_FALSE(fixture.decide(makeData(1, first.tag, 1, 1, 0), 1240ms).isNewlyTrusted);
}

TEST_CASE("Only packets of open flows to known upstreams are steerable without a configuration",
          "[forwarder]")
{
    // Guards against a decision about an opening packet before the routes are known.
    forwarder_fixture fixture;
    const auto opened = fixture.decide(makeOpening(1), 1s);
    CHECK(fixture.dataPath.isSteerable(makeData(1, opened.tag, 1, 1, 10)));
    CHECK_FALSE(fixture.dataPath.isSteerable(makeOpening(1)));
    CHECK_FALSE(fixture.dataPath.isSteerable(makeData(1, noTag, 1, 1, 10)));
    CHECK_FALSE(fixture.dataPath.isSteerable(makeData(1, 0x12345678, 1, 1, 10)));
    CHECK_FALSE(fixture.dataPath.isSteerable(makeData(1, opened.tag, 1, 1, 10, proofsAddress)));
}

TEST_CASE("A flow closed after its answer yields a latency, an aborted request a lower bound",
          "[forwarder]")
{
    // Callers open a flow for each request, and upstreams leave some requests hanging.
    forwarder_fixture fixture;
    const auto answered = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, answered.tag, 1001, 500, 300), 1010ms);
    auto closing = makeData(1, answered.tag, 1301, 900, 0);
    closing.isClosing = true;
    CHECK(fixture.decide(closing, 1060ms).latency == 50ms);
    CHECK(fixture.placement.averageLatencyOf(answered.upstream->id, 2s) == 50ms);

    const auto hung = fixture.decide(makeOpening(2), 1s);
    REQUIRE(hung.upstream != answered.upstream);
    fixture.decide(makeData(2, hung.tag, 1002, 500, 300), 1010ms);
    closing = makeData(2, hung.tag, 1302, 500, 0);
    closing.isClosing = true;
    CHECK(fixture.decide(closing, 4010ms).latency == 0s);
    CHECK(fixture.placement.averageLatencyOf(hung.upstream->id, 5s) == 3s);
}

TEST_CASE("A request that may have been answered through another instance yields no latency",
          "[forwarder]")
{
    // During a rolling restart the fabric moves nearly all flows to other instances.
    forwarder_fixture fixture;
    for (std::uint16_t port = 1; port <= 20; ++port) {
        const auto opened = fixture.decide(makeOpening(port), 1s);
        fixture.decide(makeData(port, opened.tag, 1000U + port, 500, 300), 1010ms);
    }
    for (int second = 2; second < 10; ++second)
        fixture.dataPath.expire(std::chrono::seconds(second));
    for (int i = 0; i < 4; ++i) {
        const auto id = fixture.directory.find("i-d" + std::to_string(i))->id;
        CHECK(fixture.placement.averageLatencyOf(id, 5s) == 0s);
    }
}

namespace {

/** One request in progress since 1010 ms, by default at an upstream with an average of 40 ms. */
struct hanging_request_fixture : forwarder_fixture
{
    hanging_request_fixture()
    {
        for (int i = 0; i < 4; ++i) {
            const auto id = directory.find("i-d" + std::to_string(i))->id;
            for (int sample = 0; sample < 8; ++sample)
                placement.recordLatency(id, 40ms, 1s);
        }
        const auto opened = decide(makeOpening(1), 1s);
        hanging = opened.upstream->id;
        tag = opened.tag;
        decide(makeData(1, tag, 1001, 500, 300), 1010ms);
    }

    /// Another upstream answers a request in 40 ms.
    void answerElsewhere(std::uint16_t port, monotonic_time at)
    {
        const auto opened = decide(makeOpening(port), at - 50ms);
        REQUIRE(opened.upstream->id != hanging);
        decide(makeData(port, opened.tag, 1000U + port, 500, 300), at - 40ms);
        decide(makeData(port, opened.tag, 1300U + port, 900, 0), at);
    }

    void sampleUntil(monotonic_time end)
    {
        for (monotonic_time now = 1020ms; now <= end; now += 50ms)
            dataPath.sampleRequestsInProgress(now);
    }

    upstream_id hanging = noUpstream;
    steering_tag tag = noTag;
};

} // namespace

TEST_CASE("Hanging upstream: requests in progress lower its share before their callers give up",
          "[forwarder]")
{
    // Guards against an upstream that accepts requests, never answers, and gets its whole share of
    // the new flows until the first deadline has passed.
    hanging_request_fixture fixture;
    fixture.answerElsewhere(2, 1060ms);
    fixture.sampleUntil(1250ms);
    const auto average = fixture.placement.averageLatencyOf(fixture.hanging, 1250ms);
    CHECK(average > 80ms);
    unsigned placed = 0;
    for (std::uint16_t port = 10; port < 110; ++port) {
        if (fixture.decide(makeOpening(port), 1250ms).upstream->id == fixture.hanging)
            ++placed;
    }
    CHECK(placed <= 10);
    // Above the target latency the request is late, and its age counts when its caller gives up.
    fixture.sampleUntil(3s);
    CHECK(fixture.placement.averageLatencyOf(fixture.hanging, 3s) == average);
}

TEST_CASE("A request that was answered is not counted as in progress", "[forwarder]")
{
    hanging_request_fixture fixture;
    fixture.answerElsewhere(2, 1060ms);
    fixture.decide(makeData(1, fixture.tag, 1301, 900, 0), 1050ms);
    fixture.sampleUntil(1300ms);
    CHECK(fixture.placement.averageLatencyOf(fixture.hanging, 1300ms) == 40ms);
    SECTION("the next request of the flow has its own age")
    {
        fixture.decide(makeData(1, fixture.tag, 1301, 900, 300), 1290ms);
        fixture.sampleUntil(1330ms);
        CHECK(fixture.placement.averageLatencyOf(fixture.hanging, 1330ms) == 40ms);
    }
}

TEST_CASE("Requests in progress do not count while the cause may be the instance or the fabric",
          "[forwarder]")
{
    // Guards against healthy upstreams that lose their share because the answers are acknowledged
    // through another instance, or because this instance is cut off.
    hanging_request_fixture fixture;
    SECTION("no upstream has answered since the request") { }
    SECTION("the fabric moved flows of another instance here")
    {
        fixture.answerElsewhere(2, 1060ms);
        forwarder_fixture other;
        const auto moved = other.decide(makeOpening(3), 1s);
        fixture.decide(makeData(3, moved.tag, 1003, 500, 300), 1061ms);
    }
    fixture.sampleUntil(3s);
    CHECK(fixture.placement.averageLatencyOf(fixture.hanging, 3s) == 40ms);
}

TEST_CASE("Requests of a route without a target latency are not counted while in progress",
          "[forwarder]")
{
    forwarder_fixture fixture;
    auto config = makeConfig(2);
    config.routes[0].targetLatency = 0s;
    fixture.routes.apply(config, 0s);
    const auto opened = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, opened.tag, 1001, 500, 300), 1010ms);
    const auto answered = fixture.decide(makeOpening(2), 1s);
    fixture.decide(makeData(2, answered.tag, 1002, 500, 300), 1010ms);
    fixture.decide(makeData(2, answered.tag, 1302, 900, 0), 1050ms);
    for (monotonic_time now = 1s; now < 3s; now += 50ms)
        fixture.dataPath.sampleRequestsInProgress(now);
    CHECK(fixture.placement.averageLatencyOf(opened.upstream->id, 3s) == 0s);
}

TEST_CASE("Watched requests are due in the order of their ages", "[forwarder]")
{
    request_watch_list requests;
    requests.add({{{1, 1}, deskAddress, transport::Tcp}, 2s, 100ms, 400ms});
    requests.add({{{2, 2}, deskAddress, transport::Tcp}, 1s, 1050ms, 2s});
    CHECK_FALSE(requests.takeDue(2049ms));
    CHECK(requests.takeDue(2100ms)->startedAt == 1s);
    CHECK(requests.takeDue(2100ms)->startedAt == 2s);
    CHECK_FALSE(requests.takeDue(10s));
    CHECK(requests.size() == 0);
}

TEST_CASE("Reused port: the packets of each flow go to its own upstream", "[forwarder]")
{
    // Guards against a caller that gets the answer to another caller's request, and against a reset
    // that is meant for the former flow of the port.
    forwarder_fixture fixture;
    const auto former = fixture.decide(makeOpening(1), 1s);
    fixture.decide(makeData(1, former.tag, 1001, 500, 90), 1010ms);
    auto opening = makeOpening(1);
    opening.sequence = 90000;
    auto next = fixture.decide(opening, 2s);
    while (next.upstream == former.upstream) {
        opening.sequence += 1000;
        next = fixture.decide(opening, 2s);
    }
    fixture.decide(makeData(1, next.tag, opening.sequence, 70000, 90), 2010ms);
    // A late packet of the former flow.
    const auto late = fixture.decide(makeData(1, former.tag, 1091, 4'000'000, 0), 2020ms);
    CHECK(late.upstream == former.upstream);
    CHECK(late.latency == 0s);
    const auto after =
        fixture.decide(makeData(1, next.tag, opening.sequence + 90, 71000, 0), 2030ms);
    CHECK(after.upstream == next.upstream);
    const auto ended = fixture.dataPath.extractFlowsOf(next.upstream->id);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].acknowledged == 71000);
    CHECK(fixture.dataPath.extractFlowsOf(former.upstream->id).empty());
}

TEST_CASE("A download keeps its upstream across a configuration change and a drain", "[forwarder]")
{
    // Guards against a 240 KB answer that breaks off halfway: it takes 200 acknowledgements, any of
    // which may reach another instance with another configuration.
    forwarder_fixture first;
    forwarder_fixture second;
    const auto opened = first.decide(makeOpening(1, 0, proofsAddress), 1s);
    auto config = makeConfig(2);
    config.routes[1].targets = {{"desk", 1}};
    for (std::uint32_t part = 0; part < 200; ++part) {
        if (part == 100) {
            second.routes.apply(config, 2s);
            auto leaving = opened.upstream->announced;
            leaving.isDraining = true;
            second.directory.announce(leaving, 2s);
        }
        auto &instance = part % 3 == 0 ? first : second;
        const auto packet = makeData(1, opened.tag, 1001, 500 + part * 1200, 0, proofsAddress);
        const auto decision = instance.decide(packet, 1s + part * 10ms);
        REQUIRE(decision.action == packet_action::Forward);
        REQUIRE(decision.upstream->announced.name == opened.upstream->announced.name);
    }
}
