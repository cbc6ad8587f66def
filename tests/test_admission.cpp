/**
 * @file test_admission.cpp
 * Admission control: overload of a service, priorities, and the limit on connections.
 */

#include "admission/admission_controller_base.h"
#include "core/compress_func.h"
#include "entry_support.h"
#include "forward/forwarder_base.h"
#include "platform/record_codec.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>
#include <vector>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr std::size_t priorityCount = 3;

/** What happened to the requests of a run. */
struct outcome
{
    int inTarget = 0;
    int late = 0;
    int rejected = 0; ///< by the upstreams
    std::array<int, priorityCount> refused {};
    std::array<int, priorityCount> admitted {};
    monotonic_time firstRefusal {0};
    monotonic_time lastRefusal {0};

    int allRefused() const { return refused[0] + refused[1] + refused[2]; }
};

/**
 * A service whose requests pass through several instances, in virtual time. It works off its queue
 * at a constant rate, and rejects a request that would wait for longer than `maxWait`.
 */
class simulated_service
{
public:
    static constexpr std::size_t instanceCount = 20;
    static constexpr auto work = 55ms;
    static constexpr auto maxWait = 250ms;
    static constexpr auto target = 500ms;

    explicit simulated_service(bool isEnabled)
    {
        routing_config config;
        config.version = 1;
        for (unsigned priority = 0; priority < priorityCount; ++priority)
            config.routes.push_back(
                {"", {priority, 443}, {{"desk", 1}}, target, 2500ms, priority, true});
        routes.apply(config, 0s);
        for (auto &controller : controllers)
            controller.setPolicy({isEnabled});
    }

    /** Sends requests per second and instance, of random priorities, for some time. */
    outcome run(double rate, monotonic_time duration, double capacity = 32)
    {
        outcome result;
        const auto end = now + duration;
        const double perMillisecond = rate * instanceCount / 1000;
        for (double due = 0; now < end; now += 1ms) {
            m_wait = std::max(0.0, m_wait - 1);
            deliverSamples();
            for (due += perMillisecond; due >= 1; --due)
                request(result, 1000 / (capacity * instanceCount));
        }
        return result;
    }

    routing_table routes;
    std::vector<admission_controller> controllers {instanceCount, admission_controller(routes)};
    monotonic_time now = 10s;

private:
    struct event
    {
        monotonic_time at {0};
        monotonic_time startedAt {0};
        std::size_t instance = 0;
        bool isAnswer = false;

        bool operator<(const event &other) const { return at > other.at; }
    };

    void request(outcome &result, double queueMilliseconds)
    {
        const std::size_t instance = m_random() % instanceCount;
        const unsigned priority = m_random() % priorityCount;
        if (!controllers[instance].admits("desk", priority, now)) {
            ++result.refused.at(priority);
            if (result.firstRefusal.count() == 0)
                result.firstRefusal = now;
            result.lastRefusal = now;
            return;
        }
        ++result.admitted.at(priority);
        const auto waits =
            std::chrono::duration_cast<monotonic_time>(std::chrono::duration<double, std::milli>(
                std::min(m_wait, std::chrono::duration<double, std::milli>(maxWait).count())));
        const bool isRejected = waits >= maxWait;
        if (!isRejected)
            m_wait += queueMilliseconds;
        // Work takes from half to one and a half times the mean.
        const monotonic_time latency = waits + work / 2 + work * (m_random() % 1000) / 1000;
        m_events.push({now + latency, now, instance, true});
        for (const auto age : {target / 4, target / 2, target}) {
            // Ages are sampled every 50 ms.
            const monotonic_time at = (now + age + 49ms) / 50ms * monotonic_time(50ms);
            if (at < now + latency)
                m_events.push({at, now, instance, false});
        }
        ++(isRejected ? result.rejected : latency <= target ? result.inTarget : result.late);
    }

    void deliverSamples()
    {
        for (; !m_events.empty() && m_events.top().at <= now; m_events.pop()) {
            const event &due = m_events.top();
            auto &controller = controllers[due.instance];
            if (due.isAnswer)
                controller.recordLatency("desk", now - due.startedAt, target, now);
            else
                controller.recordInProgress("desk", now - due.startedAt, target, now);
        }
    }

    std::mt19937 m_random {7};
    std::priority_queue<event> m_events;
    double m_wait = 0; ///< of the next request, in milliseconds
};

} // namespace

TEST_CASE("In a burst the upstreams reject few requests, and lower priorities are refused first",
          "[admission]")
{
    // Guards against a burst of 1.35 times the capacity (3.8 times the usual load) whose excess
    // waits in the upstreams' queues and is then rejected by them.
    simulated_service uncontrolled(false);
    uncontrolled.run(11.4, 20s);
    const auto before = uncontrolled.run(43, 8s);
    CHECK(before.allRefused() == 0);

    simulated_service service(true);
    const auto usual = service.run(11.4, 20s);
    CHECK(usual.allRefused() == 0);
    const auto begin = service.now;
    const auto burst = service.run(43, 8s);
    CHECK(burst.rejected * 10 < before.rejected);
    CHECK(burst.inTarget * 100 > before.inTarget * 95);
    CHECK(burst.firstRefusal - begin < 800ms);
    CHECK(burst.refused[2] > burst.refused[1]);
    CHECK(burst.refused[1] > burst.refused[0]);
    for (const int admitted : burst.admitted)
        CHECK(admitted > 100);
}

TEST_CASE("After a burst nothing is refused once its queue is worked off", "[admission]")
{
    // Guards against refusals of callers for whom there is capacity again.
    simulated_service service(true);
    service.run(11.4, 20s);
    service.run(43, 8s);
    const auto end = service.now;
    const auto after = service.run(11.4, 5s);
    CHECK(after.lastRefusal - end < 400ms);
    CHECK(after.allRefused() < 60);
}

TEST_CASE("A service that is busy but not overloaded refuses nothing", "[admission]")
{
    // Guards against refusals at 90% of the capacity.
    simulated_service service(true);
    service.run(11.4, 20s);
    CHECK(service.run(29, 60s).allRefused() == 0);
}

namespace {

/** One controller with the routes "desk" (target 500 ms) and "slow" (target 6 s) to one service. */
struct controller_fixture
{
    explicit controller_fixture(bool isEnabled = true)
    {
        routing_config config;
        config.version = 1;
        config.routes.push_back({"desk", {1, 443}, {{"desk", 1}}, 500ms, 2500ms, 1, true});
        config.routes.push_back({"slow", {2, 443}, {{"desk", 1}}, 6s, 9s, 2, true});
        routes.apply(config, 0s);
        controller.setPolicy({isEnabled});
        answer(50ms, 5s);
    }

    /** Answers with the latency, one each 10 ms. */
    void answer(monotonic_time latency, monotonic_time duration, monotonic_time target = 500ms)
    {
        for (const auto end = now + duration; now < end; now += 10ms)
            controller.recordLatency("desk", latency, target, now);
    }

    int countRefused(unsigned priority, int flows = 100)
    {
        int refused = 0;
        for (int i = 0; i < flows; ++i)
            refused += controller.admits("desk", priority, now) ? 0 : 1;
        return refused;
    }

    routing_table routes;
    admission_controller controller {routes};
    monotonic_time now = 10s;
};

} // namespace

TEST_CASE("Requests in progress show an overload before any of them is answered", "[admission]")
{
    // Guards against a reaction that waits for the answers of slow requests.
    controller_fixture fixture;
    // 43 requests per second, none of which is answered, sampled every 50 ms.
    const auto begin = fixture.now;
    const auto recordUntil = [&](monotonic_time end) {
        for (; fixture.now < end; fixture.now += 50ms) {
            for (auto start = begin; start + 125ms <= fixture.now; start += 23ms) {
                if (start + 125ms > fixture.now - 50ms)
                    fixture.controller.recordInProgress("desk", fixture.now - start, 500ms,
                                                        fixture.now);
            }
        }
    };
    recordUntil(begin + 250ms);
    CHECK(fixture.controller.isOverloaded("desk", begin + 200ms));
    CHECK(fixture.countRefused(2, 20) > 0);
}

TEST_CASE("No priority is starved, and a higher one is refused only at the limit of the lower",
          "[admission]")
{
    controller_fixture fixture;
    fixture.answer(400ms, 350ms);
    CHECK(fixture.countRefused(2) > 50);
    CHECK(fixture.countRefused(1) == 0);
    fixture.answer(400ms, 5s);
    CHECK(fixture.countRefused(2) == 90);
    CHECK(fixture.countRefused(1) == 90);
    const auto load = fixture.controller.loadOf("desk", fixture.now);
    CHECK(load.isOverloaded);
    CHECK(load.refusedFraction == Approx(0.9));
    CHECK(load.queueingDelay > 300ms);
}

TEST_CASE("Refusals end with the delay, without samples and after a suspension", "[admission]")
{
    // Guards against refusals that outlast their reason.
    controller_fixture fixture;
    fixture.answer(400ms, 3s);
    REQUIRE(fixture.countRefused(2) == 90);
    SECTION("answers are fast again")
    {
        fixture.answer(50ms, 20ms);
    }
    SECTION("samples stop, as in an outage of the fabric")
    {
        fixture.now += 600ms;
    }
    SECTION("the process was suspended, and answers waited for it")
    {
        fixture.now += 400ms;
        fixture.controller.noteResumed(fixture.now);
        for (int i = 0; i < 50; ++i)
            fixture.controller.recordLatency("desk", 420ms, 500ms, fixture.now);
    }
    SECTION("the policy is turned off")
    {
        fixture.controller.setPolicy({false});
    }
    CHECK(fixture.countRefused(2) == 0);
    CHECK(fixture.countRefused(1) == 0);
}

TEST_CASE("With the policy off the load is observed and nothing is refused", "[admission]")
{
    // Hedging needs the observation.
    controller_fixture fixture(false);
    fixture.answer(400ms, 3s);
    CHECK(fixture.controller.isOverloaded("desk", fixture.now));
    CHECK(fixture.countRefused(2) == 0);
    // Turned on in an overload, it starts with the growth of one interval.
    fixture.controller.setPolicy({true});
    CHECK(fixture.countRefused(2) <= 30);
    CHECK(fixture.countRefused(1) == 0);
}

TEST_CASE("A sample counts relative to the target latency of its own route", "[admission]")
{
    // Guards against a route with a long target whose latencies seem to be an overload.
    controller_fixture fixture;
    fixture.answer(50ms, 2s, 6s);
    fixture.answer(400ms, 2s, 6s);
    CHECK_FALSE(fixture.controller.isOverloaded("desk", fixture.now));
    fixture.answer(400ms, 2s, 500ms);
    CHECK(fixture.controller.isOverloaded("desk", fixture.now));
    CHECK_FALSE(fixture.controller.isOverloaded("proofs", fixture.now));
}

TEST_CASE("A service that became slower is not refused for ever", "[admission]")
{
    controller_fixture fixture;
    fixture.answer(300ms, 15s);
    CHECK_FALSE(fixture.controller.isOverloaded("desk", fixture.now));
    CHECK(fixture.countRefused(2) == 0);
}

namespace {

/** Data path of one instance in domain "a" with two upstreams in it and one in domain "b". */
struct data_path_fixture
{
    data_path_fixture()
    {
        routes.apply(makeConfig(1), 0s);
        for (const auto &[name, domain] : {std::pair("i-1", "a"), {"i-2", "a"}, {"i-3", "b"}})
            directory.announce(makeUpstream(name, "desk", domain), 0s);
        placement.setConnectionLimits({{{"desk", 60}}, {{"a", 9}, {"b", 2}}});
    }

    /** Opens a flow, and sends and answers `requests` requests with the latency. */
    packet_decision open(std::uint16_t port, monotonic_time now, monotonic_time latency = 10ms,
                         int requests = 1)
    {
        const auto opened = dataPath.decide(makeOpening(port), true, now);
        for (std::uint32_t i = 0; opened.upstream != nullptr && i < std::uint32_t(requests); ++i) {
            dataPath.decide(makeData(port, opened.tag, 1 + i * 10, 1 + i * 10, 10), true, now);
            now += latency;
            dataPath.decide(makeData(port, opened.tag, 11 + i * 10, 11 + i * 10, 0), true, now);
        }
        return opened;
    }

    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 2, 7}};
    upstream_health health {directory, "f-1", "a"};
    latency_exchange latencies {directory, placement};
    forwarder dataPath {routes, directory, placement, health, latencies};
};

} // namespace

TEST_CASE("An instance keeps its flows at an upstream below its share of the connection limit",
          "[admission]")
{
    // Guards against upstreams over their limit, which ignore opening packets. The share is
    // 0.6 * 60 / 9 = 4 in the own domain, and 0.3 * 60 / 9 = 2 in the other.
    data_path_fixture fixture;
    fixture.dataPath.setAdmissionPolicy({true});
    std::uint16_t port = 1;
    while (fixture.open(port, 1s).action == packet_action::Forward)
        ++port;
    const auto counts = fixture.dataPath.countFlowsByUpstream();
    CHECK(counts.at(fixture.directory.find("i-1")->id) == 4);
    CHECK(counts.at(fixture.directory.find("i-2")->id) == 4);
    CHECK(counts.at(fixture.directory.find("i-3")->id) == 2);
    CHECK(port == 11);

    const auto refused = fixture.dataPath.decide(makeOpening(port), true, 1200ms);
    CHECK(refused.action == packet_action::Reset);
    CHECK(refused.reason == packet_reason::NoCapacity);
    REQUIRE(refused.service != nullptr);
    CHECK(*refused.service == "desk");
    // Also while the state is old: the number of flows does not come from the store.
    CHECK(fixture.dataPath.decide(makeOpening(50), false, 1200ms).action == packet_action::Reset);

    auto closing = makeData(1, fixture.dataPath.decide(makeOpening(1, 1), true, 1s).tag, 11, 11, 0);
    closing.isClosing = true;
    fixture.dataPath.decide(closing, true, 2s);
    // Copies of a refused opening packet get the same decision, other flows take the free place.
    CHECK(fixture.dataPath.decide(makeOpening(port, 1), true, 2s).reason
          == packet_reason::NoCapacity);
    CHECK(fixture.open(60, 2s).action == packet_action::Forward);
    fixture.dataPath.expire(60s);
    CHECK(fixture.dataPath.countFlowsByUpstream().empty());

    fixture.dataPath.setAdmissionPolicy({false});
    for (port = 100; port < 150; ++port)
        CHECK(fixture.open(port, 61s).action == packet_action::Forward);
}

TEST_CASE("An instance without answers does not take its own link for an overload", "[admission]")
{
    data_path_fixture fixture;
    fixture.dataPath.setAdmissionPolicy({true});
    fixture.placement.setConnectionLimits({});
    auto now = monotonic_time(1s);
    for (std::uint16_t port = 1; port <= 20; ++port, now += 50ms)
        fixture.open(port, now, 10ms, 3);
    const auto isOverloadedAfter = [&](bool isAnswered) {
        for (std::uint16_t port = 100; port < 140; ++port, now += 10ms) {
            const auto opened = fixture.dataPath.decide(makeOpening(port), true, now);
            if (opened.upstream == nullptr)
                continue;
            fixture.dataPath.decide(makeData(port, opened.tag, 1, 1, 10), true, now);
            fixture.dataPath.sampleRequestsInProgress(now);
            if (isAnswered)
                fixture.open(static_cast<std::uint16_t>(port + 500), now, 100ms);
        }
        return fixture.dataPath.admission().isOverloaded("desk", now);
    };
    CHECK_FALSE(isOverloadedAfter(false));
    CHECK(isOverloadedAfter(true));
}

TEST_CASE("Connection limits are decoded and passed to other instances and older builds",
          "[admission]")
{
    // Guards against states that an older build can't read, or that differ from the store's.
    const auto config = platform::decodeConfig(
        R"({"version":7,"routes":[],"limits":{},"services":[
            {"name":"s1","max_connections":3224},{"name":"s2","max_connections":0},{"name":"s3"},
            {"name":"s4","max_connections":"x"},{"name":"s5","max_connections":-3},
            {"name":"s6","max_connections":1.5},{"max_connections":3},7]})");
    REQUIRE(config);
    CHECK(config.value().maxConnections == std::map<std::string, std::uint32_t> {{"s1", 3224}});

    state_snapshot state;
    state.revision = 3;
    state.hasConfig = true;
    state.config = config.value();
    state.evacuations.emplace();
    const auto decoded = decodeState(encodeState(state));
    REQUIRE(decoded);
    CHECK(decoded.value().config.maxConnections == state.config.maxConnections);

    // The encoding of an older build ends before the limits.
    auto older = state;
    older.config.maxConnections.clear();
    const auto fromOlder = decodeState(encodeState(older));
    REQUIRE(fromOlder);
    CHECK(fromOlder.value().config.maxConnections.empty());
    CHECK(fromOlder.value().revision == state.revision);

    // An older build reads the same bytes and ignores those that follow.
    const auto bytes = decompressBytes(encodeState(state), 100000);
    const auto olderBytes = decompressBytes(encodeState(older), 100000);
    REQUIRE(bytes.value().size() > olderBytes.value().size());
    CHECK(std::equal(olderBytes.value().begin(), olderBytes.value().end(), bytes.value().begin()));
}
