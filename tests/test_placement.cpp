/**
 * @file test_placement.cpp
 * Selection of upstreams for new flows, one test per load pattern or fault.
 */

#include "entry_support.h"
#include "placement/domain_first_placement_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** A service "desk" with upstreams in three failure domains. */
struct placement_fixture
{
    placement_fixture()
    {
        for (const char *domain : {"a", "b", "c"}) {
            for (int i = 0; i < 4; ++i)
                directory.announce(
                    makeUpstream(std::string("i-") + domain + std::to_string(i), "desk", domain, 3),
                    0s);
        }
    }

    std::string place(monotonic_time now, std::vector<upstream_id> tried = {})
    {
        const auto chosen = placement.choose("desk", tried, now);
        return chosen ? directory.find(*chosen)->announced.name : std::string();
    }

    upstream_id idOf(const std::string &name) const { return directory.find(name)->id; }

    std::map<std::string, int> placeMany(int count, monotonic_time now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i)
            ++counts[place(now)];
        return counts;
    }

    void drain(const std::string &name)
    {
        auto announced = directory.find(name)->announced;
        announced.isDraining = true;
        directory.announce(announced, 0s);
    }

    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 42}};
};

} // namespace

TEST_CASE("Steady state: new flows are spread evenly over the local failure domain", "[placement]")
{
    placement_fixture fixture;
    const auto counts = fixture.placeMany(400, 1s);
    CHECK(counts.size() == 4);
    for (const auto &[name, count] : counts) {
        CHECK(name.substr(0, 3) == "i-a");
        CHECK(count == 100);
    }
}

TEST_CASE("Instances that restart together spread their first flows over the upstreams",
          "[placement]")
{
    // Guards against the first flows of 60 restarted instances all going to one upstream.
    placement_fixture fixture;
    std::map<std::string, int> first;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        domain_first_placement placement(fixture.directory, {"a", 3, mixHash(seed, 9)});
        ++first[fixture.directory.find(*placement.choose("desk", {}, 1s))->announced.name];
    }
    CHECK(first.size() == 4);
    for (const auto &[name, count] : first)
        CHECK(count < 30);
}

TEST_CASE("Rolling release: an upstream's share follows its slots and its warm-up", "[placement]")
{
    placement_fixture fixture;
    auto cold = makeUpstream("i-a9", "desk", "a", 3);
    cold.warmupLeft = 2s;
    fixture.directory.announce(cold, 1s);
    auto counts = fixture.placeMany(450, 2s);
    CHECK(counts["i-a9"] == 50);
    CHECK(counts["i-a0"] == 100);
    counts = fixture.placeMany(500, 4s);
    CHECK(counts["i-a9"] == 100);
}

TEST_CASE("Drain: flows go to remote domains when all local upstreams drain", "[placement]")
{
    placement_fixture fixture;
    for (const char *name : {"i-a0", "i-a1", "i-a2", "i-a3"})
        fixture.drain(name);
    const auto counts = fixture.placeMany(80, 1s);
    CHECK(counts.size() == 8);
}

TEST_CASE("No upstream is selected for an unknown service or when all upstreams drain",
          "[placement]")
{
    placement_fixture fixture;
    CHECK_FALSE(fixture.placement.choose("unknown", {}, 1s));
    for (const char *domain : {"a", "b", "c"}) {
        for (int i = 0; i < 4; ++i)
            fixture.drain(std::string("i-") + domain + std::to_string(i));
    }
    CHECK_FALSE(fixture.placement.choose("desk", {}, 1s));
}

TEST_CASE("Crash: an upstream that does not answer is avoided with exponential backoff",
          "[placement]")
{
    placement_fixture fixture;
    const auto dead = fixture.idOf("i-a0");
    fixture.placement.recordConnectFailure(dead, 1s);
    CHECK(fixture.placeMany(100, 1400ms).count("i-a0") == 0);
    CHECK(fixture.placeMany(100, 1600ms).count("i-a0") == 1);
    fixture.placement.recordConnectFailure(dead, 2s);
    CHECK(fixture.placeMany(100, 2900ms).count("i-a0") == 0);
    for (int i = 0; i < 20; ++i)
        fixture.placement.recordConnectFailure(dead, 10s);
    CHECK(fixture.placement.isSuspected(dead, 17900ms));
    CHECK_FALSE(fixture.placement.isSuspected(dead, 18100ms));
    fixture.placement.recordConnectSuccess(dead);
    CHECK(fixture.placement.countSuspected(11s) == 0);
}

TEST_CASE("Partition: remote domains get the flows when the local domain does not answer",
          "[placement]")
{
    placement_fixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.placement.recordConnectFailure(fixture.idOf("i-a" + std::to_string(i)), 1s);
    for (const auto &[name, count] : fixture.placeMany(40, 1100ms))
        CHECK(name.substr(0, 3) != "i-a");
}

TEST_CASE("Uneven release: flows spill over from a domain with few upstreams left", "[placement]")
{
    // Guards against requests that a domain's last upstream rejects while remote domains have spare
    // capacity, as with 1 of 14 upstreams left in a domain with a third of the callers.
    placement_fixture fixture;
    for (const char *name : {"i-a1", "i-a2", "i-a3"})
        fixture.drain(name);
    const auto counts = fixture.placeMany(1000, 1s);
    // 3 of 27 slots for a third of the callers: 3 / (0.75 * 9) of the flows stay.
    CHECK(counts.at("i-a0") == Approx(444).margin(2));
    CHECK(counts.at("i-b0") == Approx(counts.at("i-c0")).margin(2));
}

namespace {

/// Records 12 samples for each upstream of a domain.
void recordLatencies(placement_fixture &fixture, const std::string &domain, monotonic_time latency,
                     monotonic_time now)
{
    for (int sample = 0; sample < 12; ++sample) {
        for (int i = 0; i < 4; ++i)
            fixture.placement.recordLatency(fixture.idOf("i-" + domain + std::to_string(i)),
                                            latency, now);
    }
}

int countInDomain(const std::map<std::string, int> &counts, const std::string &domain)
{
    int total = 0;
    for (const auto &[name, count] : counts)
        total += name.substr(0, 3) == "i-" + domain ? count : 0;
    return total;
}

} // namespace

TEST_CASE("Shifted load: flows spill over from a domain only while it is overloaded", "[placement]")
{
    // Guards against requests that a domain rejects while remote domains have spare capacity, as
    // after 60% of a domain's callers moved to a domain with slow upstreams.
    placement_fixture fixture;
    recordLatencies(fixture, "a", 50ms, 1s);
    CHECK(countInDomain(fixture.placeMany(100, 1s), "a") == 100);
    recordLatencies(fixture, "a", 220ms, 2s);
    // The remote domains have no recent samples, so the best known latency is assumed for them.
    CHECK(countInDomain(fixture.placeMany(1000, 2s), "a") < 50);
    for (const char *other : {"b", "c"})
        recordLatencies(fixture, other, 110ms, 2s);
    // Twice as slow as the remote domains: an eighth of the flows stays.
    CHECK(countInDomain(fixture.placeMany(1000, 2s), "a") == Approx(125).margin(15));
    for (const char *other : {"b", "c"})
        recordLatencies(fixture, other, 200ms, 3s);
    CHECK(countInDomain(fixture.placeMany(100, 3s), "a") == 100);
    for (const char *other : {"b", "c"})
        recordLatencies(fixture, other, 50ms, 4s);
    recordLatencies(fixture, "a", 60ms, 4s);
    CHECK(countInDomain(fixture.placeMany(100, 4s), "a") == 100);
}

TEST_CASE("Burst: a domain with more than its share of the callers spills over early",
          "[placement]")
{
    // A burst of 2.2 times the load takes one domain to 94% of its slots and the others to 80%.
    // Requests are then queued as long as they are processed, which a threshold of twice the best
    // latency does not detect.
    placement_fixture fixture;
    for (const char *domain : {"a", "b", "c"})
        recordLatencies(fixture, domain, 50ms, 1s);
    recordLatencies(fixture, "a", 95ms, 2s);
    for (const char *other : {"b", "c"})
        recordLatencies(fixture, other, 70ms, 2s);
    // (70 / 95) cubed.
    CHECK(countInDomain(fixture.placeMany(1000, 2s), "a") == Approx(400).margin(20));
    SECTION("below the latency threshold no flow leaves: a partition would break it")
    {
        recordLatencies(fixture, "a", 85ms, 3s);
        for (const char *other : {"b", "c"})
            recordLatencies(fixture, other, 50ms, 3s);
        CHECK(countInDomain(fixture.placeMany(100, 3s), "a") == 100);
    }
}

TEST_CASE("A service that is slow in all domains keeps its flows in the local domain",
          "[placement]")
{
    // Guards against flows that cross domains although remote domains are not faster: the best
    // latency must follow a service that became slower.
    placement_fixture fixture;
    recordLatencies(fixture, "a", 50ms, 1s);
    for (int second = 2; second <= 60; ++second)
        recordLatencies(fixture, "a", 150ms, std::chrono::seconds(second));
    CHECK(countInDomain(fixture.placeMany(100, 60s), "a") == 100);
}

TEST_CASE("A domain with slightly less than its share of the slots keeps its flows", "[placement]")
{
    // Guards against flows that cross domains needlessly: a partition would break them.
    placement_fixture fixture;
    fixture.drain("i-a3");
    for (const auto &[name, count] : fixture.placeMany(300, 1s))
        CHECK(name.substr(0, 3) == "i-a");
}

TEST_CASE("Suspicion is ignored when every upstream is suspected", "[placement]")
{
    // Guards against refusing all flows of a service because the instance's own link failed
    // briefly.
    placement_fixture fixture;
    for (const char *domain : {"a", "b", "c"}) {
        for (int i = 0; i < 4; ++i)
            fixture.placement.recordConnectFailure(
                fixture.idOf(std::string("i-") + domain + std::to_string(i)), 1s);
    }
    CHECK_FALSE(fixture.place(1100ms).empty());
}

TEST_CASE("A retransmitted opening packet goes to an upstream that was not tried", "[placement]")
{
    placement_fixture fixture;
    std::vector<upstream_id> tried;
    for (int i = 0; i < 3; ++i)
        tried.push_back(fixture.idOf("i-a" + std::to_string(i)));
    CHECK(fixture.place(1s, tried) == "i-a3");
}

TEST_CASE("Slow upstream: its share falls with its latency and recovers", "[placement]")
{
    placement_fixture fixture;
    for (int sample = 0; sample < 8; ++sample) {
        for (int i = 0; i < 4; ++i)
            fixture.placement.recordLatency(fixture.idOf("i-a" + std::to_string(i)),
                                            i == 0 ? 250ms : 50ms, 1s);
    }
    CHECK(fixture.placeMany(300, 2s)["i-a0"] < 20);
    // Samples older than four seconds are ignored.
    CHECK(fixture.placeMany(400, 6s)["i-a0"] > 80);
}

TEST_CASE("Latencies within twice the median do not change the shares", "[placement]")
{
    placement_fixture fixture;
    for (int sample = 0; sample < 8; ++sample) {
        for (int i = 0; i < 4; ++i)
            fixture.placement.recordLatency(fixture.idOf("i-a" + std::to_string(i)),
                                            std::chrono::milliseconds(40 + 10 * i), 1s);
    }
    CHECK(fixture.placeMany(400, 2s)["i-a3"] == 100);
}

TEST_CASE("Store outage: upstreams with lapsed announcements are used only if no other is left",
          "[placement]")
{
    placement_fixture fixture;
    fixture.directory.withdraw("i-a0", true, 1s);
    CHECK(fixture.placeMany(100, 1s).count("i-a0") == 0);
    for (const char *domain : {"a", "b", "c"}) {
        for (int i = 0; i < 4; ++i)
            fixture.directory.withdraw(std::string("i-") + domain + std::to_string(i), true, 1s);
    }
    CHECK(fixture.placeMany(120, 1s).size() == 12);
}

TEST_CASE("A restart of an upstream clears its suspicion", "[placement]")
{
    placement_fixture fixture;
    const auto id = fixture.idOf("i-a0");
    fixture.placement.recordConnectFailure(id, 1s);
    fixture.placement.forget(id);
    CHECK_FALSE(fixture.placement.isSuspected(id, 1s));
}

TEST_CASE("Partition: the first loss on the path to a domain moves new flows off that path",
          "[placement]")
{
    // The local domain has no upstream left, and one of the remote domains is partitioned off.
    placement_fixture fixture;
    for (const char *name : {"i-a0", "i-a1", "i-a2", "i-a3"})
        fixture.drain(name);
    fixture.placement.recordConnectFailure(fixture.idOf("i-b0"), 10s);
    for (const auto &[name, count] : fixture.placeMany(60, 10100ms))
        CHECK(name.substr(0, 3) == "i-c");
    SECTION("recovery: an answer from the domain clears the suspicion of its path")
    {
        fixture.placement.recordConnectSuccess(fixture.idOf("i-b1"));
        CHECK(fixture.placeMany(70, 10200ms).size() == 7);
    }
    SECTION("recovery: the path is retried after the suspicion time")
    {
        CHECK(fixture.placeMany(80, 10600ms).size() == 8);
    }
    SECTION("all remote domains are partitioned off: they are still used")
    {
        fixture.placement.recordConnectFailure(fixture.idOf("i-c0"), 10100ms);
        CHECK(fixture.placeMany(60, 10200ms).size() == 6);
    }
}

TEST_CASE("A loss within the local domain does not affect its other upstreams", "[placement]")
{
    placement_fixture fixture;
    fixture.placement.recordConnectFailure(fixture.idOf("i-a0"), 10s);
    CHECK(fixture.placeMany(30, 10100ms).size() == 3);
}

TEST_CASE("Faulty link of the instance: at most half of a service is avoided on its own evidence",
          "[placement]")
{
    // Guards against an instance that loses packets and sends all its flows to the last upstream
    // that it does not suspect.
    placement_fixture fixture;
    for (const char *domain : {"a", "b", "c"}) {
        for (int i = 0; i < 3; ++i)
            fixture.placement.recordConnectFailure(
                fixture.idOf(std::string("i-") + domain + std::to_string(i)), 10s);
    }
    CHECK(fixture.placeMany(400, 10100ms).size() == 4);
    SECTION("upstreams that others report dead are avoided without limit")
    {
        for (const char *domain : {"a", "b", "c"}) {
            for (int i = 0; i < 3; ++i)
                fixture.placement.markSuspected(
                    fixture.idOf(std::string("i-") + domain + std::to_string(i)), true, 10200ms);
        }
        const auto counts = fixture.placeMany(40, 10300ms);
        REQUIRE_FALSE(counts.empty());
        for (const auto &[name, count] : counts)
            CHECK(name.back() == '3');
    }
}

TEST_CASE("An upstream that others report dead is avoided and retried later", "[placement]")
{
    placement_fixture fixture;
    fixture.placement.markSuspected(fixture.idOf("i-a0"), true, 10s);
    CHECK(fixture.placeMany(300, 13900ms).count("i-a0") == 0);
    CHECK(fixture.placeMany(300, 18100ms).count("i-a0") == 1);
}

TEST_CASE("Hanging upstream: unanswered requests lower its share", "[placement]")
{
    // An upstream that accepts requests and never answers them yields no latencies, so without the
    // aborted requests it would seem as fast as before.
    placement_fixture fixture;
    for (const char *name : {"i-a0", "i-a1", "i-a2", "i-a3"}) {
        for (int i = 0; i < 8; ++i)
            fixture.placement.recordLatency(fixture.idOf(name), 40ms, 10s);
    }
    for (int i = 0; i < 4; ++i)
        fixture.placement.recordUnansweredRequest(fixture.idOf("i-a0"), 600ms, 10500ms);
    auto counts = fixture.placeMany(300, 10600ms);
    CHECK(counts["i-a0"] < 20);
    // An age below the average is ignored: the request may still be answered.
    fixture.placement.recordUnansweredRequest(fixture.idOf("i-a1"), 10ms, 10600ms);
    CHECK(fixture.placement.averageLatencyOf(fixture.idOf("i-a1"), 10600ms) == 40ms);
}

TEST_CASE("Restart of the whole fleet: the first flows are spread evenly", "[placement]")
{
    // 39 instances start at once and place their pending flows, 2 to 10 each, on 47 upstreams with
    // two slots and a queue for eight more requests.
    upstream_directory directory;
    for (int i = 0; i < 47; ++i)
        directory.announce(
            makeUpstream("i-" + std::to_string(mixHash(1, static_cast<std::uint64_t>(i))), "desk",
                         "a"),
            0s);
    std::map<upstream_id, int> counts;
    int total = 0;
    for (std::size_t index = 0; index < 39; ++index) {
        domain_first_placement placement(directory, {"a", 5, mixHash(index, 3)});
        placement.setInstanceIndex(index, 39);
        const auto flows = 2 + mixHash(index, 4) % 9;
        for (std::uint64_t flow = 0; flow < flows; ++flow, ++total)
            ++counts[*placement.choose("desk", {}, 1s)];
    }
    const double mean = total / 47.0;
    CHECK(counts.size() == 47);
    for (const auto &[id, count] : counts)
        CHECK(count <= 1.5 * mean + 1);
}

TEST_CASE("Many upstreams: a few short requests do not make a domain seem overloaded",
          "[placement]")
{
    // Guards against flows that cross domains because one of 40 upstreams had the shortest
    // requests. Seen once instances shared their latency samples.
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 42}};
    std::vector<upstream_id> local;
    for (int i = 0; i < 40; ++i) {
        for (const char *domain : {"a", "b", "c"}) {
            const auto made =
                makeUpstream(std::string("i-") + domain + std::to_string(i), "desk", domain);
            const auto id = directory.announce(made, 0s).id;
            if (made.domain == "a")
                local.push_back(id);
        }
    }
    const auto countLocal = [&](monotonic_time now) {
        int count = 0;
        for (int i = 0; i < 200; ++i)
            count +=
                directory.find(*placement.choose("desk", {}, now))->announced.domain == "a" ? 1 : 0;
        return count;
    };
    for (std::size_t i = 0; i < local.size(); ++i) {
        for (int sample = 0; sample < 4; ++sample)
            placement.recordLatency(local[i], i == 7 ? 12ms : 50ms, 10s + sample * 200ms);
    }
    CHECK(countLocal(10800ms) == 200);
    SECTION("a few long requests do not either")
    {
        for (int sample = 0; sample < 4; ++sample)
            placement.recordLatency(local[3], 400ms, 20s + sample * 200ms);
        CHECK(countLocal(20700ms) == 200);
    }
    SECTION("slow upstreams throughout the domain do")
    {
        for (const upstream_id id : local) {
            for (int sample = 0; sample < 12; ++sample)
                placement.recordLatency(id, 220ms, 11s + sample * 100ms);
        }
        CHECK(countLocal(12200ms) < 100);
    }
}

TEST_CASE("Cold domain: all instances together keep below the rate of each upstream that warms up",
          "[placement]")
{
    // Guards against overloading upstreams that return cold from an evacuation, in any second.
    constexpr double configuredRate = 20;
    constexpr int maxPerSecond = 35; // one and a half times the rate, and 5
    constexpr std::size_t instanceCount = 60;
    upstream_directory directory;
    for (int i = 0; i < 5; ++i) {
        auto announced = makeUpstream("i-" + std::to_string(i), "desk", "a", 2);
        announced.warmupLeft = 10s;
        directory.announce(announced, 0s);
    }
    std::vector<std::unique_ptr<domain_first_placement>> instances;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        instances.push_back(std::make_unique<domain_first_placement>(
            directory, instance_locality {"a", 3, i * 7919}));
        instances.back()->setInstanceIndex(i, instanceCount);
        instances.back()->setWarmupLimits({{"desk", configuredRate}}, instanceCount);
    }
    const auto hasWarmUpstream = GENERATE(false, true);
    if (hasWarmUpstream)
        directory.announce(makeUpstream("i-warm", "desk", "b", 2), 0s);
    std::map<upstream_id, std::deque<monotonic_time>> recent;
    int refused = 0;
    int mostPerSecond = 0;
    int placedCold = 0;
    const auto warm = hasWarmUpstream ? directory.find("i-warm")->id : noUpstream;
    // 600 new flows a second for five cold upstreams, after a time without any.
    for (monotonic_time now = 2s; now < 8s; now += 5ms) {
        for (int flow = 0; flow < 3; ++flow) {
            const auto index = static_cast<std::size_t>((now / 5ms * 3 + flow) % instanceCount);
            const auto chosen = instances[index]->choose("desk", {}, now);
            if (!chosen) {
                ++refused;
                continue;
            }
            if (*chosen == warm)
                continue;
            ++placedCold;
            auto &times = recent[*chosen];
            times.push_back(now);
            while (now - times.front() >= 1s)
                times.pop_front();
            mostPerSecond = std::max(mostPerSecond, static_cast<int>(times.size()));
        }
    }
    CHECK(mostPerSecond <= maxPerSecond);
    // At least half of what the upstreams take is used.
    CHECK(placedCold >= 5 * 6 * configuredRate / 2);
    CHECK((refused == 0) == hasWarmUpstream);
}

TEST_CASE("Upstreams that warm up have no limit without a configured rate or when they are warm",
          "[placement]")
{
    upstream_directory directory;
    auto announced = makeUpstream("i-1", "desk", "a", 2);
    announced.warmupLeft = 2s;
    directory.announce(announced, 0s);
    domain_first_placement placement {directory, {"a", 3, 42}};
    const auto countPlaced = [&](monotonic_time now) {
        int placed = 0;
        for (int i = 0; i < 100; ++i)
            placed += placement.choose("desk", {}, now) ? 1 : 0;
        return placed;
    };
    CHECK(countPlaced(1s) == 100);
    placement.setWarmupLimits({{"desk", 10}}, 1);
    CHECK(countPlaced(1s) < 10);
    CHECK(countPlaced(2s) == 100);
    SECTION("fewer instances share the rate: permits are still issued")
    {
        announced.warmupLeft = 60s;
        directory.announce(announced, 50s);
        placement.setWarmupLimits({{"desk", 10}}, 2);
        CHECK(countPlaced(51s) > 0);
        placement.setWarmupLimits({{"desk", 1}}, 1);
        int placed = 0;
        for (monotonic_time now = 52s; now < 62s; now += 100ms)
            placed += countPlaced(now);
        CHECK(placed >= 5);
        CHECK(placed <= 10);
        announced.warmupLeft = 2s;
        directory.announce(announced, 0s);
    }
    placement.setWarmupLimits({{"proofs", 10}}, 1);
    CHECK(countPlaced(1s) == 100);
}
