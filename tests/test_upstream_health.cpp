/**
 * @file test_upstream_health.cpp
 * Upstreams that die, hang, are slow or only seem so, as several instances see them.
 */

#include "forward/forwarder_base.h"
#include "gossip_support.h"
#include "health/upstream_health_base.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <queue>
#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** What one instance of domain "a" believes, without others. */
struct health_fixture
{
    health_fixture()
    {
        for (const char *name : {"i-1", "i-2"})
            directory.announce(makeUpstream(name, "desk", "a"), 0s);
        directory.announce(makeUpstream("i-9", "desk", "b"), 0s);
    }

    upstream_id idOf(const std::string &name) const { return directory.find(name)->id; }

    /// A report of another instance about packets that it first sent some time ago.
    static liveness_report report(const std::string &upstream, const std::string &instance,
                                  unsigned retransmissions, std::uint32_t ageMs)
    {
        return {tagOfName(upstream),
                std::nullopt,
                {{reporterIdOf(instance), static_cast<std::uint8_t>(retransmissions), ageMs}}};
    }

    /// Judges until evidence has settled.
    void settle(monotonic_time now)
    {
        for (monotonic_time passed {0}; passed <= 150ms; passed += 50ms) {
            for (const auto &change : health.evaluate(now + passed))
                changes.push_back(change);
        }
    }

    upstream_directory directory;
    upstream_health health {directory, "f-1", "a"};
    std::vector<health_change> changes;
};

/// Evidence of two instances that suffices for a verdict.
void declareDead(health_fixture &fixture, const std::string &upstream, monotonic_time now)
{
    const auto id = fixture.idOf(upstream);
    fixture.health.noteAnswered(fixture.idOf("i-2"), now - 10ms);
    fixture.health.noteRetransmission(id, now - 210ms, now);
    fixture.health.merge({fixture.report(upstream, "f-2", 2, 300)}, true, now);
    fixture.settle(now);
}

/** Instances of three domains whose callers send requests to upstreams; packets may be lost. */
struct traffic_fixture
{
    explicit traffic_fixture(std::size_t count, std::uint64_t seed)
        : fleet(count, seed), random(seed)
    {
        const auto everything = fleet.storeContent(1, 1);
        for (auto &instance : fleet.instances)
            fleet.applyStoreContent(*instance, everything);
    }

    /// A request of a caller and when its next packet is due.
    struct request
    {
        std::size_t instance;
        std::string upstream;
        monotonic_time sentAt;
        int transmissions = 0; ///< sent so far
    };

    double draw() { return std::uniform_real_distribution<double>()(random); }

    void send(request next)
    {
        auto &health = fleet.instances[next.instance]->health;
        const auto now = fleet.clock.now();
        const auto *record = fleet.instances[next.instance]->directory.find(next.upstream);
        if (next.transmissions == 0)
            next.sentAt = now;
        else
            health.noteRetransmission(record->id, next.sentAt, now);
        // Either the packet or what acknowledges it is lost.
        const bool isLost = isDead[next.upstream] || draw() < lossRate;
        constexpr std::array<monotonic_time, 3> waits {200ms, 400ms, 800ms};
        const auto copy = static_cast<std::size_t>(next.transmissions++);
        if (!isLost)
            answers.emplace(now + 50ms, next);
        else if (copy < waits.size())
            packets.emplace(now + waits[copy], next);
    }

    /// Sends requests to random upstreams at a rate for a while.
    void run(monotonic_time duration, double requestsPerSecond)
    {
        for (monotonic_time passed {0}; passed < duration; passed += 10ms) {
            fleet.run(10ms);
            const auto now = fleet.clock.now();
            if (draw() < requestsPerSecond / 100) {
                const auto upstream = "i-" + std::to_string(random() % upstreamCount);
                send({pickInstance(), upstream, now});
            }
            for (; !packets.empty() && packets.begin()->first <= now;
                 packets.erase(packets.begin()))
                send(packets.begin()->second);
            for (; !answers.empty() && answers.begin()->first <= now;
                 answers.erase(answers.begin()))
                noteAnswer(answers.begin()->second);
            evaluate();
        }
    }

    void noteAnswer(const request &answered)
    {
        auto &instance = *fleet.instances[answered.instance];
        instance.health.noteAnswered(instance.directory.find(answered.upstream)->id,
                                     fleet.clock.now());
    }

    void evaluate()
    {
        for (auto &instance : fleet.instances) {
            for (const auto &change : instance->health.evaluate(fleet.clock.now())) {
                const auto &name = instance->directory.find(change.upstream)->announced.name;
                if (change.state == health_state::Dead && !isDead[name])
                    ++falsePositives;
            }
        }
    }

    /// Only instances of the first domain, where the upstreams are, serve callers.
    std::size_t pickInstance() { return random() % ((fleet.instances.size() + 2) / 3) * 3; }

    std::size_t countInstancesSeeingDead(const std::string &upstream,
                                         const std::string &domain) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
            const auto &instance = *fleet.instances[i];
            const bool isThere = fleet.registrations[i].domain == domain;
            count +=
                isThere && instance.health.isDead(instance.directory.find(upstream)->id) ? 1 : 0;
        }
        return count;
    }

    static constexpr std::size_t upstreamCount = 18;
    gossip_fixture fleet;
    std::mt19937_64 random;
    double lossRate = 0;
    std::map<std::string, bool> isDead;
    std::multimap<monotonic_time, request> packets;
    std::multimap<monotonic_time, request> answers;
    std::size_t falsePositives = 0;
};

} // namespace

TEST_CASE("An upstream that leaves the packets of two instances unanswered is dead", "[health]")
{
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    CHECK(fixture.health.isDead(fixture.idOf("i-1")));
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-2")));
    REQUIRE_FALSE(fixture.changes.empty());
    CHECK(fixture.changes.back().state == health_state::Dead);
    CHECK(fixture.changes.back().reporters == 2);
    CHECK(fixture.changes.back().retransmissions == 3);
}

TEST_CASE("One instance behind a bad link condemns nobody", "[health]")
{
    health_fixture fixture;
    SECTION("this one")
    {
        for (int i = 0; i < 50; ++i) {
            fixture.health.noteAnswered(fixture.idOf("i-2"), 10s + i * 10ms - 1ms);
            fixture.health.noteRetransmission(fixture.idOf("i-1"), 9800ms + i * 10ms,
                                              10s + i * 10ms);
        }
    }
    SECTION("another one, whose reports arrive several times")
    {
        for (int i = 0; i < 50; ++i)
            fixture.health.merge({fixture.report("i-1", "f-2", 100, 300)}, true, 10500ms);
    }
    fixture.settle(10500ms);
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
    CHECK(fixture.health.healthOf(fixture.idOf("i-1")) == health_state::Silent);
}

TEST_CASE("An answer that anybody saw outweighs silence before it", "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
    fixture.health.noteRetransmission(upstream, 9790ms, 10s);
    fixture.health.merge({fixture.report("i-1", "f-2", 2, 300)}, true, 10s);
    SECTION("seen here")
    {
        fixture.health.noteAnswered(upstream, 10020ms);
    }
    SECTION("reported by another instance")
    {
        fixture.health.merge({{tagOfName("i-1"), 5, {}}}, true, 10030ms);
    }
    fixture.settle(10050ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
    CHECK(fixture.health.healthOf(upstream) == health_state::Answering);
}

TEST_CASE("Whoever knows of an answer replies to reports of silence", "[health]")
{
    health_fixture fixture;
    fixture.health.noteAnswered(fixture.idOf("i-1"), 10s);
    const std::vector<liveness_report> reports {fixture.report("i-1", "f-2", 2, 300)};
    fixture.health.merge(reports, true, 10100ms);
    const auto replies = fixture.health.replyTo(reports, 10100ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answeredAgeMs == 110U); // with the allowance for its way
    CHECK(fixture.health.replyTo({fixture.report("i-1", "f-2", 2, 20)}, 10100ms).empty());
}

TEST_CASE("An answer does not seem newer when it is passed on", "[health]")
{
    // Guards against a last answer that circulates and clears a dead upstream again and again.
    health_fixture fixture;
    upstream_health other {fixture.directory, "f-2", "a"};
    fixture.health.noteAnswered(fixture.idOf("i-1"), 9s);
    auto now = 9500ms;
    for (int hop = 0; hop < 50; ++hop) {
        auto &from = hop % 2 == 0 ? fixture.health : other;
        auto &to = hop % 2 == 0 ? other : fixture.health;
        const std::vector<liveness_report> reports {fixture.report("i-1", "f-9", 1, 900)};
        const auto replies = from.replyTo(reports, now);
        REQUIRE(replies.size() == 1);
        now += 3ms;
        to.merge(replies, true, now);
    }
    fixture.health.merge({fixture.report("i-1", "f-9", 2, 400)}, true, now);
    fixture.settle(now);
    CHECK(fixture.health.healthOf(fixture.idOf("i-1")) == health_state::Silent);
}

TEST_CASE("Whoever starts late learns of a dead upstream with its first unanswered packet",
          "[health]")
{
    // Guards against callers of a restarted instance who wait until their deadline.
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    const auto replies = fixture.health.replyTo({fixture.report("i-1", "f-7", 1, 210)}, 10500ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reporters.size() == 2);
}

TEST_CASE("An instance that is late, alone or was suspended gives no evidence", "[health]")
{
    // Guards against a slow or cut-off instance that takes its own fault for that of upstreams.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    SECTION("it handles packets late")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
        fixture.health.setLocalHealth(false);
        fixture.health.noteRetransmission(upstream, 9700ms, 10s);
    }
    SECTION("packets waited together while it was suspended")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9999ms);
        fixture.health.noteRetransmission(upstream, 9998ms, 10s);
    }
    SECTION("no upstream answers it")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9s);
        fixture.health.noteRetransmission(upstream, 9700ms, 10s);
    }
    CHECK_FALSE(fixture.health.hasPendingReports());
    fixture.settle(10s);
    CHECK(fixture.health.healthOf(upstream) == health_state::Answering);
}

TEST_CASE("Silence that another domain sees counts for that domain's own upstreams alone",
          "[health]")
{
    // Guards against a cut between two domains that ends flows in a third one.
    health_fixture fixture;
    for (const char *upstream : {"i-1", "i-9"}) {
        fixture.health.merge({fixture.report(upstream, "f-2", 3, 300)}, false, 10s);
        fixture.health.merge({fixture.report(upstream, "f-5", 3, 300)}, false, 10s);
    }
    fixture.settle(10s);
    CHECK(fixture.health.isDead(fixture.idOf("i-9")));
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
}

TEST_CASE("One unanswered packet ends the flows of an upstream that is announced no more",
          "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.directory.withdraw("i-1", false, 9s);
    fixture.settle(9500ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
    fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
    fixture.health.noteRetransmission(upstream, 9790ms, 10s);
    fixture.settle(10s);
    CHECK(fixture.health.isDead(upstream));
    SECTION("it stays dead while it is gone")
    {
        fixture.settle(40s);
        CHECK(fixture.health.isDead(upstream));
    }
    SECTION("its announcement only lapsed and returns")
    {
        fixture.directory.announce(makeUpstream("i-1", "desk", "a"), 11s);
        fixture.settle(15s);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
}

TEST_CASE("An upstream that lost its announcement and still answers keeps its flows", "[health]")
{
    // Guards against flows that break because an upstream is cut off from the store alone.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.directory.withdraw("i-1", false, 9s);
    for (int i = 0; i < 100; ++i) {
        fixture.health.noteAnswered(upstream, 10s + i * 100ms);
        fixture.settle(10s + i * 100ms);
        REQUIRE_FALSE(fixture.health.isDead(upstream));
    }
}

TEST_CASE("A gone upstream whose address has another owner is dead", "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    auto successor = makeUpstream("i-7", "proofs", "a");
    successor.address = fixture.directory.find(upstream)->announced.address;
    fixture.directory.announce(successor, 10s);
    // Both are announced: the old one may be the one that lives.
    fixture.health.noteAddressReused(fixture.directory.upstreamsWithReusedAddress());
    fixture.settle(10s);
    CHECK_FALSE(fixture.health.isDead(upstream));
    fixture.directory.withdraw("i-1", false, 11s);
    fixture.health.noteAddressReused(fixture.directory.upstreamsWithReusedAddress());
    fixture.settle(11s);
    CHECK(fixture.health.isDead(upstream));
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-7")));
}

TEST_CASE("A dead upstream that answers or starts again is alive at once", "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    declareDead(fixture, "i-1", 10s);
    REQUIRE(fixture.health.isDead(upstream));
    SECTION("it answers")
    {
        fixture.health.noteAnswered(upstream, 10500ms);
    }
    SECTION("it started again under its name")
    {
        fixture.health.forget(upstream);
    }
    CHECK_FALSE(fixture.health.isDead(upstream));
    fixture.settle(10600ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
}

TEST_CASE("A dead upstream that is still announced gets another chance", "[health]")
{
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    fixture.settle(19s);
    CHECK(fixture.health.isDead(fixture.idOf("i-1")));
    fixture.settle(21s);
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
}

TEST_CASE("News are told a bounded number of times, and nothing in calm", "[health]")
{
    // Guards against reports that cost bytes for as long as an upstream is dead.
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    std::size_t messages = 0;
    while (fixture.health.hasPendingReports() && messages < 100) {
        fixture.health.takePendingReports(10500ms);
        ++messages;
    }
    CHECK(messages <= 3);
    for (int i = 0; i < 100; ++i)
        fixture.health.merge({fixture.report("i-1", "f-2", 2, 800)}, true, 10500ms);
    CHECK_FALSE(fixture.health.hasPendingReports());
}

TEST_CASE("Caller packets to a dead upstream are answered by a reset", "[health][forwarder]")
{
    health_fixture fixture;
    routing_table routes;
    routes.apply(makeConfig(1), 0s);
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange latencies {fixture.directory, placement};
    forwarder path {routes, fixture.directory, placement, fixture.health, latencies};
    std::map<std::string, packet_decision> opened;
    for (std::uint16_t port = 1; port <= 2; ++port) {
        const auto decision = path.decide(makeOpening(port), true, 9s);
        opened[decision.upstream->announced.name] = decision;
        path.decide(makeData(port, decision.tag, 1000U + port, 500, 0), true, 9010ms);
    }
    REQUIRE(opened.size() == 2);
    declareDead(fixture, "i-1", 10s);
    // Any instance decides so, also one that never saw the flow.
    const auto ended = path.decide(makeData(7, opened["i-1"].tag, 1007, 500, 90), true, 11s);
    CHECK(ended.action == packet_action::Reset);
    CHECK(ended.reason == packet_reason::UpstreamDead);
    CHECK(ended.unansweredBy == fixture.directory.find("i-1"));
    const auto other = path.decide(makeData(8, opened["i-2"].tag, 1008, 500, 90), true, 11s);
    CHECK(other.reason == packet_reason::Steered);
    auto closing = makeData(7, opened["i-1"].tag, 1007, 500, 0);
    closing.isReset = true;
    CHECK(path.decide(closing, true, 11s).action == packet_action::Forward);
}

TEST_CASE("Idle flows of a dead upstream are ended where their callers acknowledged last",
          "[health][forwarder]")
{
    // Guards against callers who may not repeat and lose their next request on such a flow.
    health_fixture fixture;
    routing_table routes;
    routes.apply(makeConfig(1), 0s);
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange latencies {fixture.directory, placement};
    forwarder path {routes, fixture.directory, placement, fixture.health, latencies};
    std::map<std::string, std::uint16_t> ports;
    for (std::uint16_t port = 1; port <= 2; ++port) {
        const auto opened = path.decide(makeOpening(port), true, 9s);
        path.decide(makeData(port, opened.tag, 1000U + port, 500, 0), true, 9010ms);
        path.decide(makeData(port, opened.tag, 1000U + port, 600, 0), true, 9050ms);
        ports[opened.upstream->announced.name] = port;
    }
    // A flow that is being opened is not ended: its caller repeats the opening packet.
    path.decide(makeOpening(3), true, 9060ms);
    declareDead(fixture, "i-1", 10s);
    const auto ended = path.extractFlowsOf(fixture.idOf("i-1"));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].flow.caller.port == ports["i-1"]);
    CHECK(ended[0].acknowledged == 600);
    CHECK(path.extractFlowsOf(fixture.idOf("i-1")).empty());
}

TEST_CASE("Requests that take long are no evidence while the upstream acknowledges them",
          "[health][forwarder]")
{
    // Pattern: slow and hanging upstreams. Their callers wait and repeat nothing.
    health_fixture fixture;
    routing_table routes;
    routes.apply(makeConfig(1), 0s);
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange latencies {fixture.directory, placement};
    forwarder path {routes, fixture.directory, placement, fixture.health, latencies};
    for (std::uint16_t port = 1; port <= 40; ++port) {
        const auto opened = path.decide(makeOpening(port), true, 9s);
        path.decide(makeData(port, opened.tag, 1000U + port, 500, 0), true, 9010ms);
        path.decide(makeData(port, opened.tag, 1000U + port, 500, 90), true, 9020ms);
        path.decide(makeData(port, opened.tag, 1090U + port, 900, 0), true, 14s);
    }
    fixture.settle(14s);
    CHECK(fixture.health.countDead() == 0);
    CHECK(fixture.changes.empty());
}

TEST_CASE("Death in a large fleet: the packets of a few instances protect the callers of all",
          "[health][gossip]")
{
    // Pattern: 60 instances of three domains, each with few requests to each upstream.
    traffic_fixture traffic(60, 5);
    traffic.run(3s, 90);
    REQUIRE(traffic.falsePositives == 0);
    traffic.isDead["i-3"] = true;
    traffic.run(1500ms, 90);
    CHECK(traffic.countInstancesSeeingDead("i-3", "a") == 20);
    CHECK(traffic.countInstancesSeeingDead("i-3", "b") == 20);
    CHECK(traffic.countInstancesSeeingDead("i-3", "c") == 20);
    CHECK(traffic.falsePositives == 0);
}

TEST_CASE("Lossy links end no flow of an upstream that lives", "[health][gossip]")
{
    // Pattern: three packets in a hundred are lost for a minute, some requests a second.
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        traffic_fixture traffic(39, seed);
        traffic.lossRate = 0.03;
        traffic.run(60s, 90);
        INFO("seed " << seed);
        CHECK(traffic.falsePositives == 0);
    }
}

TEST_CASE("A quiet fleet sends no reports, and a death costs each instance a bounded burst",
          "[health][gossip]")
{
    traffic_fixture traffic(60, 9);
    traffic.run(2s, 90);
    const auto sentBytes = [&] {
        std::size_t sum = 0;
        for (const auto &instance : traffic.fleet.instances)
            sum += instance->sentBytes;
        return sum / traffic.fleet.instances.size();
    };
    const auto before = sentBytes();
    traffic.run(4s, 90);
    const auto calm = sentBytes() - before;
    for (const char *name : {"i-1", "i-2", "i-3", "i-4"})
        traffic.isDead[name] = true;
    traffic.run(4s, 90);
    const auto burst = sentBytes() - before - 2 * calm;
    INFO(calm << " bytes in calm, " << burst << " more with four deaths");
    CHECK(calm < 4 * 2048);
    CHECK(burst < 16384);
}

TEST_CASE("Slow upstream in a large fleet: what others measured lowers its share",
          "[health][gossip]")
{
    // Pattern: 40 instances of a domain, 18 upstreams, a request to each of them every eight
    // seconds at each instance. Nobody has enough measurements alone.
    traffic_fixture traffic(120, 3);
    const auto runSlow = [&](monotonic_time duration) {
        for (monotonic_time passed {0}; passed < duration; passed += 10ms) {
            traffic.fleet.run(10ms);
            if (traffic.draw() > 0.9)
                continue;
            auto &instance = *traffic.fleet.instances[traffic.pickInstance()];
            const auto name = "i-" + std::to_string(traffic.random() % 18);
            const monotonic_time usual = 20ms + 1ms * static_cast<int>(traffic.random() % 60);
            const auto latency = name == "i-5" ? usual * 8 : usual;
            instance.latencies.noteAnswered(instance.directory.find(name)->id, latency,
                                            traffic.fleet.clock.now());
        }
    };
    runSlow(6s);
    std::size_t chosen = 0;
    std::size_t total = 0;
    for (std::size_t i = 0; i < traffic.fleet.instances.size(); i += 3) {
        auto &instance = *traffic.fleet.instances[i];
        for (int flow = 0; flow < 18; ++flow, ++total) {
            const auto id = instance.placement.choose("desk", {}, traffic.fleet.clock.now());
            chosen += instance.directory.find(*id)->announced.name == "i-5" ? 1 : 0;
        }
    }
    // An eighteenth of the flows without a difference.
    CHECK(chosen * 18 < total / 3);
}

TEST_CASE("What an instance tells of latencies is bounded and new", "[health]")
{
    health_fixture fixture;
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange exchange {fixture.directory, placement};
    for (int i = 0; i < 500; ++i)
        exchange.noteAnswered(fixture.idOf("i-1"), 40ms, 10s + i * 1ms);
    CHECK(exchange.recentReports(10600ms).size() == latency_exchange_limits {}.maxReports);
    CHECK(exchange.recentReports(13s).empty());
    exchange.noteAnswered(fixture.idOf("i-2"), 3600s, 13s);
    REQUIRE(exchange.recentReports(13s).size() == 1);
    CHECK(exchange.recentReports(13s)[0].latencyMs == 60000);
    // Reports about upstreams that are not known here are left out.
    exchange.merge({{12345, 40}}, 13s);
}
