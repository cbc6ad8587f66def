/**
 * @file test_stalled_upstreams.cpp
 * Upstreams that acknowledge requests and never answer, or only appear to, as seen by the data
 * paths of several instances.
 */

#include "forward/forwarder_base.h"
#include "gossip_support.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr const char *hung = "i-d0";
constexpr const char *working = "i-d1";

struct open_flow
{
    std::uint16_t port = 0;
    steering_tag tag = noTag;
    endpoint service = deskAddress;
};

/** Data path of one instance. Requests wait at 500 ms and are stalled at 1 s. */
struct data_path
{
    explicit data_path(const std::string &name) : health(directory, name, "a")
    {
        auto config = makeConfig(1);
        config.routes[0].targetLatency = 1s;
        config.routes[1] = config.routes[0];
        config.routes[1].address = proofsAddress;
        config.routes[1].isIdempotent = false;
        routes.apply(config, 0s);
        for (const char *upstream : {hung, working})
            directory.announce(makeUpstream(upstream, "desk", "a"), 0s);
        path.setHedgingPolicy({10});
    }

    upstream_id idOf(const char *name) const { return directory.find(name)->id; }

    open_flow open(const char *upstream, monotonic_time at, const endpoint &service = deskAddress)
    {
        for (;;) {
            const auto opened = path.decide(makeOpening(++lastPort, 0, service), true, at);
            if (opened.upstream->announced.name != upstream)
                continue;
            path.decide(makeData(lastPort, opened.tag, 1, 500, 0, service), true, at);
            return {lastPort, opened.tag, service};
        }
    }

    packet_decision request(const open_flow &flow, monotonic_time at)
    {
        return path.decide(makeData(flow.port, flow.tag, 1, 500, 90, flow.service), true, at);
    }

    void answer(const open_flow &flow, monotonic_time at)
    {
        path.decide(makeData(flow.port, flow.tag, 91, 900, 0, flow.service), true, at);
    }

    void requestFrom(const char *upstream, monotonic_time at, int count,
                     const endpoint &service = deskAddress)
    {
        for (int i = 0; i < count; ++i)
            request(open(upstream, at, service), at);
    }

    bool isStalled() const { return health.isStalled(idOf(hung)); }
    bool isAvoided() const { return health.isAvoidedForStalls(idOf(hung)); }

    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 7}};
    upstream_health health;
    latency_exchange latencies {directory, placement};
    forwarder path {routes, directory, placement, health, latencies};
    std::uint16_t lastPort = 0;
    bool hasTraffic = true; ///< the working upstream answers requests
};

/** Three instances that exchange reports with every tick, from 1 s on. */
struct stall_fixture
{
    void run(monotonic_time until)
    {
        for (; now < until; now += 50ms) {
            for (data_path *instance : instances) {
                if (instance->hasTraffic) {
                    const auto flow = instance->open(working, now);
                    instance->request(flow, now);
                    instance->answer(flow, now);
                }
                instance->path.sampleRequestsInProgress(now);
                instance->health.evaluate(now);
            }
            for (data_path *from : instances) {
                const auto reports = from->health.takePendingReports(now);
                for (data_path *to : instances) {
                    if (to == from)
                        continue;
                    to->health.merge(reports, true, now);
                    from->health.merge(to->health.replyTo(reports, now), true, now);
                }
            }
        }
    }

    /// Three requests of two instances are stalled at 2 s, so the verdict is there by 2.3 s.
    void hang()
    {
        first.requestFrom(hung, now, 2);
        second.requestFrom(hung, now, 1);
    }

    bool isAnyAvoiding() const
    {
        return first.isAvoided() || second.isAvoided() || third.isAvoided();
    }

    monotonic_time now = 1s;
    data_path first {"f-1"};
    data_path second {"f-2"};
    data_path third {"f-3"};
    std::vector<data_path *> instances {&first, &second, &third};
};

} // namespace

TEST_CASE("A hung upstream that two instances see is avoided, then stalled, at all instances",
          "[stall]")
{
    // Guards against callers that wait for an upstream which answers nobody until their deadline.
    stall_fixture fixture;
    const auto idle = fixture.third.open(hung, fixture.now);
    fixture.hang();
    fixture.run(1450ms);
    CHECK_FALSE(fixture.isAnyAvoiding());
    fixture.run(1900ms);
    for (const data_path *instance : fixture.instances) {
        CHECK(instance->isAvoided());
        CHECK(instance->health.healthOf(instance->idOf(hung)) == health_state::Silent);
        CHECK_FALSE(instance->isStalled());
    }
    fixture.run(2300ms);
    for (const data_path *instance : fixture.instances)
        CHECK(instance->isStalled());
    // An accepted flow is no answer.
    fixture.third.open(hung, fixture.now);
    CHECK(fixture.third.isStalled());
    const auto ended = fixture.third.request(idle, fixture.now);
    CHECK(ended.action == packet_action::Reset);
    CHECK(ended.reason == packet_reason::UpstreamStalled);
    CHECK(ended.unansweredBy->announced.name == hung);
    CHECK(ended.evidenceAge >= 1s);
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).size() == 2);
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).empty());
    CHECK(fixture.third.path.extractStalledFlows(fixture.now).empty());
}

TEST_CASE("No upstream is stalled without evidence from two instances that see others answer",
          "[stall]")
{
    stall_fixture fixture;
    SECTION("one instance alone never decides")
    {
        fixture.first.requestFrom(hung, fixture.now, 20);
    }
    SECTION("two requests are not enough")
    {
        fixture.first.requestFrom(hung, fixture.now, 1);
        fixture.second.requestFrom(hung, fixture.now, 1);
    }
    SECTION("no upstream answers these instances, as their links are down")
    {
        fixture.hang();
        fixture.first.hasTraffic = fixture.second.hasTraffic = false;
    }
    SECTION("the process was suspended")
    {
        fixture.hang();
        fixture.run(1200ms);
        fixture.first.health.noteResumed(fixture.now);
        fixture.first.health.setLocalHealth(true);
    }
    SECTION("requests were sent again, or have several packets")
    {
        const std::uint32_t sequence = GENERATE(1, 91);
        for (data_path *instance : {&fixture.first, &fixture.second}) {
            for (int i = 0; i < 3; ++i) {
                const auto flow = instance->open(hung, fixture.now);
                instance->request(flow, fixture.now);
                instance->path.decide(makeData(flow.port, flow.tag, sequence, 500, 90), true,
                                      fixture.now + 100ms);
            }
        }
    }
    SECTION("hedging is off")
    {
        for (data_path *instance : fixture.instances)
            instance->path.setHedgingPolicy({0});
        fixture.hang();
    }
    fixture.run(4s);
    CHECK_FALSE(fixture.isAnyAvoiding());
    CHECK_FALSE(fixture.first.isStalled());
}

TEST_CASE("Flows that move to other instances in a rolling restart are no evidence", "[stall]")
{
    // Guards against resets of working flows whose answers are acknowledged through other
    // instances.
    stall_fixture fixture;
    for (data_path *instance : {&fixture.first, &fixture.second})
        instance->requestFrom(hung, fixture.now, 5);
    fixture.run(1050ms);
    SECTION("instances that lose their flows get some of others")
    {
        const auto moved = fixture.third.open(working, fixture.now);
        for (data_path *instance : {&fixture.first, &fixture.second})
            instance->path.decide(makeData(60000, moved.tag, 1, 1, 0), true, fixture.now);
    }
    SECTION("instances that lose their flows get none")
    {
        fixture.run(1200ms);
        fixture.first.hasTraffic = fixture.second.hasTraffic = false;
    }
    SECTION("instances that stop get a few more packets")
    {
        fixture.first.path.noteStopping();
        fixture.second.path.noteStopping();
    }
    fixture.run(4s);
    CHECK_FALSE(fixture.isAnyAvoiding());
}

TEST_CASE("A rolling restart does not hide an upstream that hangs", "[stall]")
{
    // Guards against flows that arrive from other instances all the time and discard all evidence.
    stall_fixture fixture;
    std::vector<open_flow> lasting;
    for (data_path *instance : fixture.instances)
        lasting.push_back(instance->open(working, fixture.now));
    fixture.run(1050ms);
    fixture.hang();
    const bool isAnswered = GENERATE(true, false);
    for (std::uint16_t i = 0; fixture.now < 2800ms; ++i) {
        for (std::size_t j = 0; j < lasting.size(); ++j) {
            const auto moved =
                makeData(static_cast<std::uint16_t>(60000 + i), lasting[j].tag, 1, 1, 0);
            fixture.instances[j]->path.decide(moved, true, fixture.now);
            const auto sequence = 1U + i;
            if (!isAnswered)
                continue;
            fixture.instances[j]->path.decide(
                makeData(lasting[j].port, lasting[j].tag, sequence, 500 + i * 10U, 1), true,
                fixture.now);
            fixture.instances[j]->path.decide(
                makeData(lasting[j].port, lasting[j].tag, sequence + 1, 505 + i * 10U, 0), true,
                fixture.now);
        }
        fixture.run(fixture.now + 50ms);
    }
    CHECK(fixture.first.isStalled() == isAnswered);
}

TEST_CASE("An upstream that is full and still answers is never stalled", "[stall]")
{
    // Guards against resets of working flows under overload: the waiting requests are forwarded
    // through two instances, the few answers are seen by a third one.
    stall_fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.hang();
        const auto answered = fixture.third.open(hung, fixture.now);
        fixture.third.request(answered, fixture.now);
        fixture.run(fixture.now + 250ms);
        fixture.third.answer(answered, fixture.now);
        CHECK_FALSE(fixture.isAnyAvoiding());
    }
}

TEST_CASE("An answer ends the verdict at once and leaves the flows alone", "[stall]")
{
    stall_fixture fixture;
    const auto late = fixture.third.open(hung, fixture.now);
    fixture.third.request(late, fixture.now);
    const auto idle = fixture.first.open(hung, fixture.now);
    fixture.hang();
    fixture.run(2300ms);
    REQUIRE(fixture.first.isStalled());
    REQUIRE(fixture.third.isStalled());
    fixture.third.answer(late, fixture.now);
    CHECK_FALSE(fixture.third.isStalled());
    CHECK_FALSE(fixture.third.isAvoided());
    fixture.run(fixture.now + 100ms);
    CHECK_FALSE(fixture.isAnyAvoiding());
    CHECK(fixture.first.request(idle, fixture.now).reason == packet_reason::Steered);
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).empty());
    CHECK(fixture.first.health.healthOf(fixture.first.idOf(hung)) == health_state::Answering);
}

TEST_CASE("A verdict expires with the requests that it rests on, then new flows are placed again",
          "[stall]")
{
    // Guards against resets later than the disruption window, and an upstream that stays unused.
    stall_fixture fixture;
    health_limits limits;
    limits.maxRequestAge = 3750ms; // three quarters of 5 s
    for (data_path *instance : fixture.instances)
        instance->health.setLimits(limits);
    fixture.hang();
    fixture.run(4700ms);
    CHECK(fixture.first.isStalled());
    fixture.run(4900ms);
    CHECK_FALSE(fixture.first.isStalled());
    CHECK(fixture.first.isAvoided());
    fixture.run(12500ms);
    CHECK_FALSE(fixture.isAnyAvoiding());
}

TEST_CASE("Requests that may run only once are never reset for a stalled upstream", "[stall]")
{
    // Guards against a request of which nobody knows whether it ran.
    stall_fixture fixture;
    const auto idle = fixture.first.open(hung, fixture.now, proofsAddress);
    fixture.first.requestFrom(hung, fixture.now, 2, proofsAddress);
    fixture.second.requestFrom(hung, fixture.now, 1, proofsAddress);
    fixture.run(2300ms);
    REQUIRE(fixture.first.isStalled());
    CHECK(fixture.first.request(idle, fixture.now).reason == packet_reason::Steered);
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).empty());
}

TEST_CASE("Requests in progress are reset only as far as the budget allows", "[stall]")
{
    // Guards against repeated requests that overload the other upstreams.
    stall_fixture fixture;
    const auto idle = fixture.first.open(hung, fixture.now);
    fixture.first.requestFrom(hung, fixture.now, 15);
    fixture.second.requestFrom(hung, fixture.now, 1);
    fixture.run(2300ms); // 41 requests in this time, 4 tokens
    REQUIRE(fixture.first.isStalled());
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).size() == 4);
    // One whose request is not forwarded needs no token.
    CHECK(fixture.first.request(idle, fixture.now).reason == packet_reason::UpstreamStalled);
    // Nor does one on a flow that another instance handled before: rolling restarts move most
    // flows.
    const auto moved = makeData(60000, idle.tag, 1, 1, 90);
    CHECK(fixture.first.path.decide(moved, true, fixture.now).reason
          == packet_reason::UpstreamStalled);
    fixture.run(3300ms); // 20 more
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).size() == 2);
}

TEST_CASE("Flows are left alone if no other upstream of the service takes them", "[stall]")
{
    // Guards against callers whose attempts are all reset within milliseconds when every upstream
    // of a service hangs.
    stall_fixture fixture;
    const auto idle = fixture.first.open(hung, fixture.now);
    fixture.first.requestFrom(hung, fixture.now, 15);
    fixture.second.requestFrom(hung, fixture.now, 1);
    fixture.run(2300ms);
    REQUIRE(fixture.first.isStalled());
    fixture.first.placement.markSuspected(fixture.first.idOf(hung), true, fixture.now);
    fixture.first.placement.markSuspected(fixture.first.idOf(working), true, fixture.now);
    CHECK(fixture.first.path.extractStalledFlows(fixture.now).empty());
    CHECK(fixture.first.request(idle, fixture.now).reason == packet_reason::Steered);
}

TEST_CASE("Evidence from before a restart under the same name tells nothing", "[stall]")
{
    stall_fixture fixture;
    fixture.hang();
    fixture.run(2300ms);
    REQUIRE(fixture.second.isStalled());
    auto restarted = makeUpstream(hung, "desk", "a");
    restarted.startedAtMs = 1;
    REQUIRE(fixture.first.directory.announce(restarted, fixture.now).isRestart);
    fixture.first.health.forget(fixture.first.idOf(hung));
    CHECK_FALSE(fixture.first.isStalled());
    // The others report it until they learn of the restart.
    fixture.run(4s);
    CHECK_FALSE(fixture.first.isAvoided());
}

TEST_CASE("Reports of stalled requests are extensions that a former release ignores",
          "[stall][gossip]")
{
    gossip_liveness_reports message {"a", false, {{0x01020304, 50U, {{1, 2, 210}, {3, 0, 700}}}}};
    message.reports[0].reporters[0].requests = GENERATE(as<std::uint8_t> {}, 0, 1);
    const auto former = encodeGossip(message);
    message.reports[0].tellsRequestAnswers = true;
    auto &stalled = message.reports[0].reporters[1];
    stalled.waiting = 2;
    stalled.stalled = 1;
    stalled.stalledAgeMs = 600;
    stalled.stalledSinceAgeMs = 700;
    auto current = encodeGossip(message);
    REQUIRE(current.size() > former.size());
    CHECK(std::equal(former.begin(), former.end(), current.begin()));
    const auto decoded = decodeGossip(current);
    REQUIRE(decoded);
    CHECK(std::get<gossip_liveness_reports>(decoded.value()).reports == message.reports);
    current.pop_back();
    CHECK_FALSE(decodeGossip(current));
    // A former release doesn't tell what was answered, so any answer counts.
    stall_fixture fixture;
    fixture.hang();
    fixture.run(2300ms);
    REQUIRE(fixture.first.isStalled());
    fixture.first.health.merge({{tagOfName(hung), 20, {{7, 0, 400}}}}, true, fixture.now);
    CHECK_FALSE(fixture.first.isStalled());
}

TEST_CASE("In a domain of 50 instances a slow upstream is never stalled, a hung one soon is",
          "[stall][gossip]")
{
    // Guards against answers that reach the deciding instances late: the reports of 150 instances
    // in three domains, over a network with delays.
    gossip_fixture fleet(150, GENERATE(range(1, 11)));
    const bool isHung = GENERATE(false, true);
    CAPTURE(isHung);
    std::mt19937_64 random(9);
    const auto everything = fleet.storeContent(1, 1);
    for (auto &instance : fleet.instances) {
        fleet.applyStoreContent(*instance, everything);
        instance->health.setStallDetection(true);
    }
    fleet.run(3s);
    std::size_t verdicts = 0;
    for (int tick = 0; tick < 100; ++tick) {
        fleet.run(50ms);
        const auto now = fleet.clock.now();
        const auto pick = [&]() -> simulated_instance & {
            return *fleet.instances[random() % 50 * 3]; // of domain "a"
        };
        // Four requests in each tick have waited for 500 ms, and every 500 ms one is answered.
        for (int i = 0; i < 4; ++i) {
            auto &instance = pick();
            const auto upstream = instance.directory.find("i-3")->id;
            instance.health.noteAnswered(instance.directory.find("i-4")->id, now);
            for (const auto level : {stall_level::Waiting, stall_level::Stalled})
                instance.health.noteStalledRequest(upstream, now - 500ms, level, now);
        }
        if (auto &other = pick(); !isHung && tick % 10 == 0)
            other.health.noteAnswered(other.directory.find("i-3")->id, now);
        verdicts = 0;
        for (auto &each : fleet.instances) {
            each->health.evaluate(now);
            verdicts += each->health.isStalled(each->directory.find("i-3")->id) ? 1 : 0;
        }
        if (!isHung)
            CHECK(verdicts == 0);
        else if (tick >= 16) // 0.8 s
            CHECK(verdicts >= 150 - 3);
    }
}
