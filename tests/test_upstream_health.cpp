/**
 * @file test_upstream_health.cpp
 * Tests of upstream_health and latency_exchange: upstreams that fail, hang or are slow, or only
 * appear to, as seen by several instances.
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

/// A request that was forwarded once before its caller sent it again.
unanswered_packet requestSentAt(monotonic_time at)
{
    return {packet_kind::Request, at, at};
}

/** Health checks of a single instance in failure domain "a", without peers. */
struct health_fixture
{
    health_fixture()
    {
        for (const char *name : {"i-1", "i-2"})
            directory.announce(makeUpstream(name, "desk", "a"), 0s);
        directory.announce(makeUpstream("i-9", "desk", "b"), 0s);
    }

    upstream_id idOf(const std::string &name) const { return directory.find(name)->id; }

    /// A report from another instance about requests that it first forwarded some time ago.
    static liveness_report report(const std::string &upstream, const std::string &instance,
                                  unsigned retransmissions, std::uint32_t ageMs)
    {
        const auto count = static_cast<std::uint8_t>(retransmissions);
        return {tagOfName(upstream),
                std::nullopt,
                {{reporterIdOf(instance), count, ageMs, count, ageMs}}};
    }

    /// Evaluates until the time for refutations has passed.
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

/// Supplies reports from two instances that suffice to declare an upstream dead.
void declareDead(health_fixture &fixture, const std::string &upstream, monotonic_time now)
{
    const auto id = fixture.idOf(upstream);
    fixture.health.noteAnswered(fixture.idOf("i-2"), now - 10ms);
    fixture.health.noteRetransmission(id, requestSentAt(now - 210ms), now);
    fixture.health.merge({fixture.report(upstream, "f-2", 2, 300)}, true, now);
    fixture.settle(now);
}

/** Instances in three failure domains whose callers send requests to upstreams, with packet loss.
 */
struct traffic_fixture
{
    explicit traffic_fixture(std::size_t count, std::uint64_t seed)
        : fleet(count, seed), random(seed)
    {
        const auto everything = fleet.storeContent(1, 1);
        for (auto &instance : fleet.instances)
            fleet.applyStoreContent(*instance, everything);
    }

    /// A request from a caller.
    struct request
    {
        std::size_t instance;
        std::string upstream;
        monotonic_time sentAt;
        int transmissions = 0; ///< number of times sent so far
        monotonic_time lastSentAt {0};
    };

    double draw() { return std::uniform_real_distribution<double>()(random); }

    void send(request next)
    {
        auto &health = fleet.instances[next.instance]->health;
        const auto now = fleet.clock.now();
        const auto *record = fleet.instances[next.instance]->directory.find(next.upstream);
        if (health.isDead(record->id))
            return; // the flow is reset
        if (next.transmissions == 0)
            next.sentAt = now;
        else
            health.noteRetransmission(record->id,
                                      {packet_kind::Request, next.sentAt, next.lastSentAt}, now);
        next.lastSentAt = now;
        // Either the packet or its acknowledgement is lost.
        const bool isLost = isDead[next.upstream] || draw() < lossRate;
        constexpr std::array<monotonic_time, 3> waits {200ms, 400ms, 800ms};
        const auto copy = static_cast<std::size_t>(next.transmissions++);
        if (!isLost)
            answers.emplace(now + 50ms, next);
        else if (copy < waits.size())
            packets.emplace(now + waits[copy], next);
    }

    /// Sends requests to random upstreams at the given rate.
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

    /// Only instances in the first domain, where the upstreams are, serve callers.
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

TEST_CASE("An upstream is dead if packets from two instances stay unanswered", "[health]")
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

TEST_CASE("Reports from a single instance never declare an upstream dead", "[health]")
{
    health_fixture fixture;
    SECTION("own observations")
    {
        for (int i = 0; i < 50; ++i) {
            fixture.health.noteAnswered(fixture.idOf("i-2"), 10s + i * 10ms - 1ms);
            fixture.health.noteRetransmission(fixture.idOf("i-1"), requestSentAt(9800ms + i * 10ms),
                                              10s + i * 10ms);
        }
    }
    SECTION("repeated reports from one peer")
    {
        for (int i = 0; i < 50; ++i)
            fixture.health.merge({fixture.report("i-1", "f-2", 100, 300)}, true, 10500ms);
    }
    fixture.settle(10500ms);
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
    CHECK(fixture.health.healthOf(fixture.idOf("i-1")) == health_state::Silent);
}

TEST_CASE("Opening packets that a full upstream leaves unanswered never end its open flows",
          "[health]")
{
    // Guards against an upstream that takes no further flows being declared dead, with a reset of
    // all flows that it serves.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    const auto reporter = [](const char *instance) {
        return failure_reporter {reporterIdOf(instance), 8, 300};
    };
    for (int i = 0; i < 50; ++i) {
        const auto now = 10s + i * 20ms;
        fixture.health.noteAnswered(fixture.idOf("i-2"), now - 1ms);
        fixture.health.noteRetransmission(upstream,
                                          {packet_kind::Opening, now - 200ms, now - 200ms}, now);
        fixture.health.merge({{tagOfName("i-1"), std::nullopt, {reporter("f-2"), reporter("f-3")}}},
                             true, now);
    }
    fixture.settle(11s);
    CHECK_FALSE(fixture.health.isDead(upstream));
    // New flows avoid it.
    CHECK(fixture.health.healthOf(upstream) == health_state::Silent);
    SECTION("it is declared dead once it leaves requests unanswered")
    {
        // Also by instances beyond those whose opening packets it left unanswered.
        fixture.health.noteAnswered(fixture.idOf("i-2"), 11190ms);
        fixture.health.noteRetransmission(upstream, requestSentAt(11s), 11200ms);
        for (const char *instance : {"f-4", "f-5", "f-6"})
            fixture.health.merge({fixture.report("i-1", instance, 1, 200)}, true, 11200ms);
        fixture.settle(11200ms);
        CHECK(fixture.health.isDead(upstream));
    }
}

TEST_CASE("Unanswered opening packets don't end the open flows of an upstream whose announcement "
          "lapsed",
          "[health]")
{
    // Guards against a full upstream that loses its flows in an outage of the store.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
    fixture.health.noteRetransmission(upstream, {packet_kind::Opening, 9790ms, 9790ms}, 10s);
    fixture.directory.withdraw("i-1", false, 10s);
    fixture.settle(10s);
    CHECK_FALSE(fixture.health.isDead(upstream));
}

TEST_CASE("An answer seen by any instance refutes earlier reports of unanswered packets",
          "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
    fixture.health.noteRetransmission(upstream, requestSentAt(9790ms), 10s);
    fixture.health.merge({fixture.report("i-1", "f-2", 2, 300)}, true, 10s);
    SECTION("seen by this instance")
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

TEST_CASE("An instance that knows of an answer refutes reports of unanswered packets", "[health]")
{
    health_fixture fixture;
    fixture.health.noteAnswered(fixture.idOf("i-1"), 10s);
    const std::vector<liveness_report> reports {fixture.report("i-1", "f-2", 2, 300)};
    fixture.health.merge(reports, true, 10100ms);
    const auto replies = fixture.health.replyTo(reports, 10100ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].answeredAgeMs == 110U); // includes the allowance for the transit time
    CHECK(fixture.health.replyTo({fixture.report("i-1", "f-2", 2, 20)}, 10100ms).empty());
}

TEST_CASE("Relaying an answer does not make it appear more recent", "[health]")
{
    // Guards against a last answer that circulates between instances and resets the state of a dead
    // upstream again and again.
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

TEST_CASE("A restarted instance learns of a dead upstream when it first reports it", "[health]")
{
    // Guards against callers of a restarted instance waiting for a dead upstream until their
    // deadline.
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    const auto replies = fixture.health.replyTo({fixture.report("i-1", "f-7", 1, 210)}, 10500ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].reporters.size() == 2);
}

TEST_CASE("An instance that is slow, isolated or was suspended ignores its own observations",
          "[health]")
{
    // Guards against a slow or isolated instance that attributes its own fault to upstreams.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    SECTION("packets are processed late")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
        fixture.health.setLocalHealth(false);
        fixture.health.noteRetransmission(upstream, requestSentAt(9700ms), 10s);
    }
    SECTION("packets were queued while the instance was suspended")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9999ms);
        fixture.health.noteRetransmission(upstream, requestSentAt(9998ms), 10s);
    }
    SECTION("no upstream answers the instance")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9s);
        fixture.health.noteRetransmission(upstream, requestSentAt(9700ms), 10s);
    }
    CHECK_FALSE(fixture.health.hasPendingReports());
    fixture.settle(10s);
    CHECK(fixture.health.healthOf(upstream) == health_state::Answering);
}

TEST_CASE("An instance that was suspended ends no flows on what it knew or received meanwhile",
          "[health]")
{
    // Guards against resets of open flows by an instance that wakes up: its verdicts are as old as
    // the suspension, and reports that were queued look recent.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    SECTION("a verdict from before")
    {
        declareDead(fixture, "i-1", 10s);
        REQUIRE(fixture.health.isDead(upstream));
        fixture.health.noteResumed(15s);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
    SECTION("queued reports")
    {
        fixture.health.noteResumed(15s);
        fixture.health.merge(
            {fixture.report("i-1", "f-2", 3, 300), fixture.report("i-1", "f-3", 3, 300)}, true,
            15010ms);
    }
    SECTION("a suspicion that is refuted by a queued report")
    {
        fixture.health.merge(
            {fixture.report("i-1", "f-2", 3, 300), fixture.report("i-1", "f-3", 3, 300)}, true,
            14s);
        fixture.health.evaluate(14s);
        fixture.health.noteResumed(15s);
        fixture.health.evaluate(15s);
        CHECK_FALSE(fixture.health.isDead(upstream));
        fixture.health.noteAnswered(upstream, 15010ms);
    }
    fixture.settle(15050ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
    SECTION("reports count again later")
    {
        fixture.health.merge(
            {fixture.report("i-1", "f-2", 3, 300), fixture.report("i-1", "f-3", 3, 300)}, true,
            16s);
        fixture.settle(16s);
        CHECK(fixture.health.isDead(upstream));
    }
}

TEST_CASE("Reports from another domain count only for upstreams in that domain", "[health]")
{
    // Guards against a network partition between two domains that terminates flows in a third one.
    health_fixture fixture;
    for (const char *upstream : {"i-1", "i-9"}) {
        fixture.health.merge({fixture.report(upstream, "f-2", 3, 300)}, false, 10s);
        fixture.health.merge({fixture.report(upstream, "f-5", 3, 300)}, false, 10s);
    }
    fixture.settle(10s);
    CHECK(fixture.health.isDead(fixture.idOf("i-9")));
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
}

TEST_CASE("Two unanswered requests make an upstream dead once its announcement is removed",
          "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.directory.withdraw("i-1", false, 9s);
    fixture.settle(9500ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
    const auto repeatRequests = [&](monotonic_time now) {
        fixture.health.noteAnswered(fixture.idOf("i-2"), now - 10ms);
        fixture.health.noteRetransmission(upstream, requestSentAt(now - 250ms), now - 40ms);
        fixture.settle(now - 190ms);
        CHECK_FALSE(fixture.health.isDead(upstream));
        fixture.health.noteRetransmission(upstream, requestSentAt(now - 210ms), now);
        fixture.settle(now);
        CHECK(fixture.health.isDead(upstream));
    };
    repeatRequests(10s);
    SECTION("is dead again with each further pair of unanswered requests")
    {
        for (auto now = 15s; now <= 40s; now += 5s) {
            fixture.settle(now - 500ms);
            CHECK_FALSE(fixture.health.isDead(upstream));
            repeatRequests(now);
        }
    }
    SECTION("recovers when it is announced again")
    {
        fixture.directory.announce(makeUpstream("i-1", "desk", "a"), 11s);
        fixture.settle(15s);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
}

TEST_CASE("A lost datagram does not end the flows of an upstream whose announcement lapsed",
          "[health]")
{
    // Guards against an upstream that drains in an outage of the store, where its announcement
    // lapses, and loses all of its flows because one request or its acknowledgement was lost.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    auto draining = makeUpstream("i-1", "desk", "a");
    draining.isDraining = true;
    fixture.directory.announce(draining, 8s);
    fixture.directory.withdraw("i-1", true, 9s);
    SECTION("seen by this instance")
    {
        fixture.health.noteAnswered(fixture.idOf("i-2"), 9990ms);
        fixture.health.noteRetransmission(upstream, requestSentAt(9790ms), 10s);
    }
    SECTION("seen by another instance")
    {
        fixture.health.merge({fixture.report("i-1", "f-2", 1, 210)}, true, 10s);
    }
    SECTION("refuted by an instance that saw an answer since")
    {
        fixture.health.merge({fixture.report("i-1", "f-2", 2, 210)}, true, 10s);
        fixture.health.evaluate(10s);
        CHECK_FALSE(fixture.health.isDead(upstream));
        fixture.health.merge({{tagOfName("i-1"), 20, {}}}, true, 10040ms);
    }
    fixture.settle(10040ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
}

TEST_CASE("An upstream that still answers after its announcement is removed keeps its flows",
          "[health]")
{
    // Guards against terminating flows of an upstream that is disconnected only from the store.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    fixture.directory.withdraw("i-1", false, 9s);
    for (int i = 0; i < 100; ++i) {
        fixture.health.noteAnswered(upstream, 10s + i * 100ms);
        fixture.settle(10s + i * 100ms);
        REQUIRE_FALSE(fixture.health.isDead(upstream));
    }
}

TEST_CASE("A gone upstream is dead once another one announces its address", "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    auto successor = makeUpstream("i-7", "proofs", "a");
    successor.address = fixture.directory.find(upstream)->announced.address;
    fixture.directory.announce(successor, 10s);
    // While both are announced, the old one may still be alive.
    fixture.health.noteAddressReused(fixture.directory.upstreamsWithReusedAddress());
    fixture.settle(10s);
    CHECK_FALSE(fixture.health.isDead(upstream));
    fixture.directory.withdraw("i-1", false, 11s);
    fixture.health.noteAddressReused(fixture.directory.upstreamsWithReusedAddress());
    fixture.settle(11s);
    CHECK(fixture.health.isDead(upstream));
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-7")));
}

TEST_CASE("A dead upstream that answers or restarts is alive at once", "[health]")
{
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    declareDead(fixture, "i-1", 10s);
    REQUIRE(fixture.health.isDead(upstream));
    SECTION("answers")
    {
        fixture.health.noteAnswered(upstream, 10500ms);
    }
    SECTION("restarts under the same name")
    {
        fixture.health.forget(upstream);
    }
    CHECK_FALSE(fixture.health.isDead(upstream));
    fixture.settle(10600ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
}

TEST_CASE("New flows avoid a dead upstream that is still announced until a delay has passed",
          "[health]")
{
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s);
    REQUIRE(fixture.health.isDead(fixture.idOf("i-1")));
    fixture.settle(19s);
    CHECK(fixture.health.healthOf(fixture.idOf("i-1")) == health_state::Silent);
    fixture.settle(21s);
    CHECK(fixture.health.healthOf(fixture.idOf("i-1")) == health_state::Answering);
}

TEST_CASE("A verdict does not outlive the unanswered requests that it rests on", "[health]")
{
    // Guards against resets of open flows seconds after an upstream is reachable again, because no
    // packet is forwarded to it and so no answer can be seen.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    const bool isGone = GENERATE(false, true);
    CAPTURE(isGone);
    if (isGone)
        fixture.directory.withdraw("i-1", false, 9s);
    declareDead(fixture, "i-1", 10s); // the requests were forwarded at 9.7 and 9.79 s
    CHECK(fixture.health.isDead(upstream));
    const auto end = 9700ms + health_limits {}.maxRequestAge;
    fixture.settle(end - 200ms);
    CHECK(fixture.health.isDead(upstream));
    fixture.settle(end + 50ms);
    CHECK_FALSE(fixture.health.isDead(upstream));
    SECTION("reports that arrive late don't bring it back")
    {
        auto late = fixture.report("i-1", "f-2", 3, 3500);
        late.reporters.push_back({reporterIdOf("f-3"), 3, 3500, 3, 3400});
        fixture.health.merge({late}, true, end + 100ms);
        fixture.settle(end + 200ms);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
    SECTION("further unanswered requests do")
    {
        const auto now = end + 1s;
        fixture.health.noteAnswered(fixture.idOf("i-2"), now - 10ms);
        fixture.health.noteRetransmission(upstream, requestSentAt(now - 210ms), now);
        fixture.health.merge({fixture.report("i-1", "f-2", 3, 300)}, true, now);
        fixture.settle(now);
        CHECK(fixture.health.isDead(upstream));
    }
}

TEST_CASE("A dead upstream whose announcement lapses stays dead until it is announced again",
          "[health]")
{
    // Guards against callers that wait for an upstream which is known to be lost.
    health_fixture fixture;
    const auto upstream = fixture.idOf("i-1");
    declareDead(fixture, "i-1", 10s);
    fixture.directory.withdraw("i-1", false, 11s);
    fixture.settle(40s);
    CHECK(fixture.health.isDead(upstream));
    while (fixture.health.hasPendingReports())
        fixture.health.takePendingReports(40s);
    fixture.settle(50s);
    CHECK_FALSE(fixture.health.hasPendingReports());
    SECTION("is announced again")
    {
        fixture.directory.announce(makeUpstream("i-1", "desk", "a"), 51s);
        fixture.settle(51s);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
    SECTION("answers")
    {
        fixture.health.noteAnswered(upstream, 51s);
        fixture.settle(51s);
        CHECK_FALSE(fixture.health.isDead(upstream));
    }
}

TEST_CASE("A verdict whose evidence is refuted afterwards ends at once", "[health]")
{
    // Guards against a verdict that stands for seconds without any evidence, as the answer was seen
    // elsewhere shortly before it.
    health_fixture fixture;
    declareDead(fixture, "i-1", 10s); // declared at 10.1 s
    REQUIRE(fixture.health.isDead(fixture.idOf("i-1")));
    fixture.health.merge({{tagOfName("i-1"), 200, {}}}, true, 10250ms);
    fixture.settle(10250ms);
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
}

TEST_CASE("An instance that declared an upstream dead asks others for answers until they refute it",
          "[health]")
{
    // Guards against a verdict that an instance keeps because the one that sees answers started
    // after the reports were exchanged, and never learns of them.
    health_fixture fixture;
    upstream_health restarted {fixture.directory, "f-3", "a"};
    declareDead(fixture, "i-1", 10s);
    while (fixture.health.hasPendingReports())
        fixture.health.takePendingReports(10200ms);
    restarted.noteAnswered(fixture.idOf("i-1"), 10900ms);
    std::size_t messages = 0;
    for (monotonic_time now = 11s; now < 12s; now += 50ms) {
        fixture.health.evaluate(now);
        if (!fixture.health.hasPendingReports())
            continue;
        ++messages;
        const auto reports = fixture.health.takePendingReports(now);
        restarted.merge(reports, true, now);
        fixture.health.merge(restarted.replyTo(reports, now), true, now);
    }
    CHECK(messages > 0);
    CHECK(messages <= 4);
    CHECK_FALSE(fixture.health.isDead(fixture.idOf("i-1")));
}

TEST_CASE("Each update is sent a bounded number of times, and none without a change", "[health]")
{
    // Guards against reports that use bandwidth for as long as an upstream is dead.
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

TEST_CASE("Packets from callers to a dead upstream are answered with a reset",
          "[health][forwarder]")
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
    // This applies to any instance, even one that has not seen the flow before.
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

TEST_CASE("A request on a flow that no answer has come on counts like an opening packet",
          "[health][forwarder]")
{
    // Guards against an upstream that became full during the handshake and is taken for dead.
    health_fixture fixture;
    routing_table routes;
    routes.apply(makeConfig(1), 0s);
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange latencies {fixture.directory, placement};
    forwarder path {routes, fixture.directory, placement, fixture.health, latencies};
    const auto opened = path.decide(makeOpening(1), true, 9s);
    bool hasAnswered = false;
    std::uint32_t acknowledged = 500;
    path.decide(makeData(1, opened.tag, 1001, acknowledged, 0), true, 9010ms);
    SECTION("no answer has come") { }
    SECTION("an answer has come")
    {
        hasAnswered = true;
        path.decide(makeData(1, opened.tag, 1001, acknowledged, 90), true, 9020ms);
        acknowledged = 900;
        path.decide(makeData(1, opened.tag, 1091, acknowledged, 0), true, 9030ms);
    }
    const auto request = makeData(1, opened.tag, 1091, acknowledged, 90);
    path.decide(request, true, 9100ms);
    for (const auto id : {fixture.idOf("i-1"), fixture.idOf("i-2")}) {
        if (id != opened.upstream->id)
            fixture.health.noteAnswered(id, 9200ms);
    }
    path.decide(request, true, 9300ms);
    const auto reports = fixture.health.takePendingReports(9300ms);
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0].reporters.size() == 1);
    CHECK(reports[0].reporters[0].retransmissions == 1);
    CHECK(reports[0].reporters[0].requests == (hasAnswered ? 1 : 0));
    CHECK(reports[0].reporters[0].requestAgeMs == (hasAnswered ? 200 : 0));
}

TEST_CASE("Idle flows of a dead upstream are reset at the last acknowledged position",
          "[health][forwarder]")
{
    // Guards against callers that must not retry a request and lose the next one they send on such
    // a flow.
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
    // A flow that is being opened is not terminated, as its caller retransmits the opening packet.
    path.decide(makeOpening(3), true, 9060ms);
    declareDead(fixture, "i-1", 10s);
    const auto ended = path.extractFlowsOf(fixture.idOf("i-1"));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].flow.caller.port == ports["i-1"]);
    CHECK(ended[0].acknowledged == 600);
    CHECK(path.extractFlowsOf(fixture.idOf("i-1")).empty());
}

TEST_CASE("Long requests don't affect health while the upstream acknowledges them",
          "[health][forwarder]")
{
    // Scenario: slow and hanging upstreams, whose callers wait and retransmit nothing.
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

TEST_CASE("In a large fleet, a few retransmissions make all instances detect a dead upstream",
          "[health][gossip]")
{
    // Scenario: 60 instances in three domains, each with few requests to each upstream.
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

TEST_CASE("After a short cut all instances forward packets to the upstream again",
          "[health][gossip]")
{
    // Scenario: 60 instances; an upstream is cut off for a second. While all of them take it for
    // dead, none forwards a packet that could be answered.
    traffic_fixture traffic(60, 7);
    traffic.run(3s, 300);
    traffic.isDead["i-3"] = true;
    traffic.run(1s, 300);
    CHECK(traffic.countInstancesSeeingDead("i-3", "a") == 20);
    traffic.isDead["i-3"] = false;
    traffic.run(health_limits {}.maxRequestAge + 100ms, 300);
    CHECK(traffic.countInstancesSeeingDead("i-3", "a") == 0);
    CHECK(traffic.countInstancesSeeingDead("i-3", "b") == 0);
    CHECK(traffic.countInstancesSeeingDead("i-3", "c") == 0);
}

TEST_CASE("Packet loss of 3% does not make a live upstream dead", "[health][gossip]")
{
    // Scenario: 3% of all packets are lost for one minute at 90 requests per second.
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        traffic_fixture traffic(39, seed);
        traffic.lossRate = 0.03;
        traffic.run(60s, 90);
        INFO("seed " << seed);
        CHECK(traffic.falsePositives == 0);
    }
}

TEST_CASE("Gossip traffic is low while all upstreams are alive and bounded when some die",
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
    INFO(calm << " bytes without failures, " << burst << " more with four dead upstreams");
    CHECK(calm < 4 * 2048);
    CHECK(burst < 16384);
}

TEST_CASE("In a large fleet, latencies measured by peers lower the share of a slow upstream",
          "[health][gossip]")
{
    // Scenario: 40 instances in one domain and 18 upstreams; each instance sees a request to each
    // upstream every eight seconds. No instance has enough samples of its own.
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
    // The slow upstream would get an eighteenth of the flows if its latency were ignored.
    CHECK(chosen * 18 < total / 3);
}

TEST_CASE("An unanswered request is reported to others only if its age is above the average",
          "[health]")
{
    // Guards against reports that make a slow upstream seem faster on other instances.
    health_fixture fixture;
    domain_first_placement placement {fixture.directory, {"a", 3, 7}};
    latency_exchange exchange {fixture.directory, placement};
    placement.recordLatency(fixture.idOf("i-1"), 300ms, 10s);
    exchange.noteUnanswered(fixture.idOf("i-1"), 100ms, 10s);
    CHECK(exchange.recentReports(10s).empty());
    exchange.noteUnanswered(fixture.idOf("i-1"), 400ms, 10s);
    REQUIRE(exchange.recentReports(10s).size() == 1);
    CHECK(exchange.recentReports(10s)[0].latencyMs == 400);
}

TEST_CASE("Reported latencies are limited in number, age and value", "[health]")
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
    // Reports about unknown upstreams are ignored.
    exchange.merge({{12345, 40}}, 13s);
}
