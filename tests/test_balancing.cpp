/**
 * @file test_balancing.cpp
 * Balancing over upstreams of different speed, in virtual time, one test per load pattern or fault.
 */

#include "balancing/speed_tracker_base.h"
#include "entry_support.h"
#include "health/latency_exchange_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** Draws the work of a request at an upstream of speed 1. */
using work_source = std::function<monotonic_time(std::mt19937_64 &)>;

/** Log-normal work with a median of 30 ms and a sigma of 0.5; its mean is 34 ms. */
monotonic_time noisyWork(std::mt19937_64 &random)
{
    const double work = std::lognormal_distribution<double>(std::log(30000.0), 0.5)(random);
    return monotonic_time(static_cast<monotonic_time::rep>(work));
}

constexpr double meanNoisyWorkSeconds = 0.034;

/**
 * Instances of one failure domain and the upstreams of a service. Each flow has one request, which
 * waits for a slot of its upstream. All instances learn of all answers: those of their own requests
 * and those that peers report.
 */
struct queueing_fleet
{
    explicit queueing_fleet(std::vector<double> upstreamSpeeds, bool isOn = true)
        : speeds(std::move(upstreamSpeeds))
    {
        for (std::size_t i = 0; i < speeds.size(); ++i)
            ids.push_back(
                directory.announce(makeUpstream("i-" + std::to_string(i), "desk", "a"), 0s).id);
        m_slots.resize(speeds.size());
        m_queues.resize(speeds.size());
        busySeconds.resize(speeds.size());
        flows.resize(speeds.size());
        for (std::uint64_t seed = 0; seed < 10; ++seed) {
            instances.push_back(std::make_unique<domain_first_placement>(
                directory, instance_locality {"a", 1, mixHash(seed, 7)}));
            instances.back()->setBalancingPolicy({isOn});
        }
    }

    /** Runs for some time at a load relative to the capacity of all slots. */
    void run(double load, monotonic_time duration, const work_source &work = noisyWork,
             double meanWorkSeconds = meanNoisyWorkSeconds)
    {
        double capacity = 0;
        for (const double speed : speeds)
            capacity += 2 * speed / meanWorkSeconds;
        std::exponential_distribution<double> gap(load * capacity);
        const auto end = now + duration;
        while (true) {
            now += monotonic_time(static_cast<monotonic_time::rep>(gap(m_random) * 1e6));
            if (now >= end)
                break;
            for (std::size_t i = 0; i < speeds.size(); ++i)
                startRequests(i);
            deliverAnswers();
            place(work(m_random));
        }
    }

    /** Forgets what was measured, not what was learned. */
    void resetCounts()
    {
        std::fill(busySeconds.begin(), busySeconds.end(), 0);
        std::fill(flows.begin(), flows.end(), 0);
    }

    double flowShare(std::size_t upstream) const
    {
        double total = 0;
        for (const double count : flows)
            total += count;
        return flows[upstream] / total;
    }

    upstream_directory directory;
    std::vector<std::unique_ptr<domain_first_placement>> instances;
    std::vector<double> speeds;
    std::vector<upstream_id> ids;
    std::vector<double> busySeconds;                    ///< by upstream
    std::vector<double> flows;                          ///< by upstream
    std::map<std::size_t, monotonic_time> fastFailures; ///< latency of upstreams that only reject
    monotonic_time now = 1s;

private:
    void deliverAnswers()
    {
        while (!m_answers.empty() && m_answers.begin()->first <= now) {
            const auto [upstream, latency] = m_answers.begin()->second;
            for (const auto &instance : instances)
                instance->recordLatency(ids[upstream], latency, m_answers.begin()->first);
            m_answers.erase(m_answers.begin());
        }
    }

    void place(monotonic_time work)
    {
        const auto chosen = *instances[m_random() % instances.size()]->choose("desk", {}, now);
        const auto upstream =
            static_cast<std::size_t>(std::find(ids.begin(), ids.end(), chosen) - ids.begin());
        ++flows[upstream];
        if (const auto failing = fastFailures.find(upstream); failing != fastFailures.end()) {
            m_answers.emplace(now + failing->second, std::pair {upstream, failing->second});
            return;
        }
        const double inverse = 1 / speeds[upstream];
        auto &queue = m_queues[upstream];
        queue.push_back({now, std::chrono::duration_cast<monotonic_time>(work * inverse)});
        startRequests(upstream);
        if (queue.size() > queueLimit) {
            m_answers.emplace(now, std::pair {upstream, now - queue.front().first});
            queue.pop_front();
        }
    }

    void startRequests(std::size_t upstream)
    {
        auto &queue = m_queues[upstream];
        while (!queue.empty()) {
            const auto [arrivedAt, work] = queue.front();
            auto &slot = *std::min_element(m_slots[upstream].begin(), m_slots[upstream].end());
            if (slot > now)
                return;
            slot = std::max(slot, arrivedAt) + work;
            busySeconds[upstream] += std::chrono::duration<double>(work).count();
            m_answers.emplace(slot, std::pair {upstream, slot - arrivedAt});
            queue.pop_front();
        }
    }

    static constexpr std::size_t queueLimit = 8; ///< beyond it the longest waiting one is rejected

    std::mt19937_64 m_random {1};
    std::vector<std::array<monotonic_time, 2>> m_slots; ///< by upstream: when each slot is free
    /// By upstream: arrival and work of the requests that wait.
    std::vector<std::deque<std::pair<monotonic_time, monotonic_time>>> m_queues;
    std::multimap<monotonic_time, std::pair<std::size_t, monotonic_time>> m_answers;
};

std::vector<double> repeated(std::vector<double> values, int times)
{
    std::vector<double> all;
    for (int i = 0; i < times; ++i)
        all.insert(all.end(), values.begin(), values.end());
    return all;
}

/// Ratio of the busiest to the least busy speed class of upstreams with speeds 0.6, 1 and 1.6.
double classImbalance(const queueing_fleet &fleet)
{
    std::map<double, double> busy;
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
        busy[fleet.speeds[i]] += fleet.busySeconds[i];
    const auto [least, most] = std::minmax({busy[0.6], busy[1.0], busy[1.6]});
    return most / least;
}

/** A directory with upstreams i-0 to i-9 of the service "desk". */
struct tracker_fixture
{
    tracker_fixture()
    {
        for (int i = 0; i < 10; ++i)
            ids.push_back(
                directory.announce(makeUpstream("i-" + std::to_string(i), "desk", "a"), 0s).id);
    }

    void sampleAll(int count, monotonic_time now, monotonic_time latencyOfFirst)
    {
        for (int sample = 0; sample < count; ++sample) {
            for (const upstream_id id : ids)
                speeds.addSample(id, id == ids[0] ? latencyOfFirst : 30ms, now);
        }
    }

    upstream_directory directory;
    std::vector<upstream_id> ids;
    speed_tracker speeds {directory};
};

} // namespace

TEST_CASE("Upstreams of speed 0.6, 1.0 and 1.6 are about equally busy", "[balancing]")
{
    // Guards against equal shares, with which the slowest are 2.7 times as busy as the fastest.
    const double load = GENERATE(0.3, 0.8);
    queueing_fleet fleet(repeated({0.6, 1, 1.6}, 6));
    fleet.run(load, 20s);
    fleet.resetCounts();
    fleet.run(load, 40s);
    CAPTURE(load, classImbalance(fleet));
    CHECK(classImbalance(fleet) < 1.15);
}

TEST_CASE("With the policy off, the slowest upstreams are the busiest", "[balancing]")
{
    // The weight of slow upstreams alone reduces the difference without removing it.
    queueing_fleet fleet(repeated({0.6, 1, 1.6}, 6), false);
    fleet.run(0.3, 30s);
    CAPTURE(classImbalance(fleet));
    CHECK(classImbalance(fleet) > 1.4);
}

TEST_CASE("Equal upstreams keep equal shares in spite of noisy latencies", "[balancing]")
{
    // Guards against shares that follow the noise of an average.
    const double load = GENERATE(0.3, 0.8);
    queueing_fleet fleet(std::vector<double>(18, 1));
    fleet.run(load, 10s);
    fleet.resetCounts();
    fleet.run(load, 40s);
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i) {
        CAPTURE(load, i, fleet.flowShare(i) * 18);
        CHECK(fleet.flowShare(i) * 18 == Approx(1).epsilon(0.1));
    }
}

TEST_CASE("Two kinds of requests don't bias the shares of equal upstreams", "[balancing]")
{
    // Guards against an average of few samples that depends on the mix of kinds among them.
    const auto twoKinds = [](std::mt19937_64 &random) {
        return random() % 4 == 0 ? monotonic_time(5ms) : monotonic_time(60ms);
    };
    queueing_fleet fleet(std::vector<double>(18, 1));
    fleet.run(0.5, 10s, twoKinds, 0.04625);
    fleet.resetCounts();
    fleet.run(0.5, 60s, twoKinds, 0.04625);
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i) {
        CAPTURE(i, fleet.flowShare(i) * 18);
        CHECK(fleet.flowShare(i) * 18 == Approx(1).epsilon(0.1));
    }
}

TEST_CASE("A burst does not make the shares oscillate", "[balancing]")
{
    // Guards against shares that overshoot when queues fill up and empty again: after a burst of
    // twice the capacity, the share of each speed class stays near its part of the capacity.
    queueing_fleet fleet(repeated({0.6, 1, 1.6}, 6));
    fleet.run(0.5, 20s);
    fleet.run(2, 2s);
    for (int second = 0; second < 20; ++second) {
        fleet.resetCounts();
        fleet.run(0.5, 1s);
        std::map<double, double> shares;
        for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
            shares[fleet.speeds[i]] += fleet.flowShare(i);
        for (const auto &[speed, share] : shares) {
            CAPTURE(second, speed, share);
            CHECK(share == Approx(speed / 3.2).epsilon(0.35));
        }
    }
}

TEST_CASE("Speeds stay from a quarter of the median to 4 times it", "[balancing]")
{
    // Guards against an upstream that rejects at once and attracts most of the new flows.
    upstream_directory directory;
    speed_tracker speeds(directory);
    const std::array<monotonic_time, 5> latencies {1ms, 60ms, 60ms, 60ms, 900ms};
    for (std::size_t i = 0; i < latencies.size(); ++i)
        directory.announce(makeUpstream("i-" + std::to_string(i), "desk", "a"), 0s);
    for (auto now = monotonic_time(1s); now < 5s; now += 100ms) {
        for (std::size_t i = 0; i < latencies.size(); ++i)
            speeds.addSample(directory.find("i-" + std::to_string(i))->id, latencies.at(i), now);
    }
    CHECK(speeds.speedOf(directory.find("i-0")->id, 5s) == 4);
    CHECK(speeds.speedOf(directory.find("i-1")->id, 5s) == 1);
    CHECK(speeds.speedOf(directory.find("i-4")->id, 5s) == 0.25);
}

TEST_CASE("An upstream that fails fast gets at most 4 times its share", "[balancing]")
{
    queueing_fleet fleet(std::vector<double>(12, 1));
    fleet.fastFailures[0] = 300us;
    fleet.run(0.5, 10s);
    fleet.resetCounts();
    fleet.run(0.5, 20s);
    CHECK(fleet.flowShare(0) > 2.0 / 12);
    CHECK(fleet.flowShare(0) <= 4.0 / 12);
}

TEST_CASE("A speed is known after 8 samples and is distinct outside 0.8 to 1.25", "[balancing]")
{
    tracker_fixture fixture;
    fixture.sampleAll(7, 1s, 60ms);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 1s) == 1);
    fixture.sampleAll(1, 2s, 60ms);
    fixture.sampleAll(1, 3s, 60ms);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 3s) == Approx(0.5));
    CHECK(fixture.speeds.speedOf(fixture.ids[1], 3s) == 1);
    fixture.sampleAll(100, 4s, 36ms);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 4s) == 1);
    fixture.sampleAll(100, 5s, 1s);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 5s) == 0.25);
    fixture.sampleAll(100, 6s, 0s);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 6s) == 4);
}

TEST_CASE("Samples expire, and an upstream starts anew with the next one", "[balancing]")
{
    // Guards against a speed of a former state, for example before an outage of the link.
    tracker_fixture fixture;
    fixture.sampleAll(16, 0s, 60ms);
    fixture.sampleAll(1, 1s, 60ms);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 31s) == Approx(0.5));
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 32s) == 1);
    fixture.sampleAll(1, 32s, 60ms);
    CHECK(fixture.speeds.speedOf(fixture.ids[0], 32s) == 1);
}

TEST_CASE("An upstream that restarts or is removed loses its speed", "[balancing]")
{
    queueing_fleet fleet(std::vector<double>(10, 1));
    fleet.speeds[0] = 0.6;
    fleet.run(0.3, 20s);
    const auto countFirst = [&fleet] {
        int count = 0;
        for (int i = 0; i < 1000; ++i)
            count += fleet.instances[0]->choose("desk", {}, fleet.now) == fleet.ids[0] ? 1 : 0;
        return count;
    };
    CHECK(countFirst() < 80);
    fleet.instances[0]->forget(fleet.ids[0]);
    CHECK(countFirst() == Approx(100).margin(15));
}

TEST_CASE("Peers' samples count as well as own ones", "[balancing]")
{
    // Guards against an instance that learns nothing because it places few flows itself.
    queueing_fleet fleet(std::vector<double>(10, 1));
    auto &placement = *fleet.instances[0];
    latency_exchange exchange(fleet.directory, placement);
    std::vector<latency_report> reports;
    for (int sample = 0; sample < 8; ++sample) {
        for (const upstream_id id : fleet.ids)
            reports.push_back({fleet.directory.find(id)->tag,
                               static_cast<std::uint16_t>(id == fleet.ids[0] ? 60 : 30)});
    }
    exchange.merge(reports, 1s);
    exchange.merge(reports, 2s);
    std::map<upstream_id, int> counts;
    for (int i = 0; i < 950; ++i)
        ++counts[*placement.choose("desk", {}, 2s)];
    CHECK(counts[fleet.ids[0]] == Approx(50).margin(2));
}

TEST_CASE("A domain whose upstreams are all slow spills over as with the policy off", "[balancing]")
{
    // Guards against speeds that hide a slow domain, or that count its latency a second time.
    std::map<bool, int> localFlows;
    for (const bool isOn : {false, true}) {
        upstream_directory directory;
        domain_first_placement placement(directory, {"a", 2, 42});
        placement.setBalancingPolicy({isOn});
        for (const char *domain : {"a", "b"}) {
            for (int i = 0; i < 6; ++i)
                directory.announce(
                    makeUpstream(std::string("i-") + domain + std::to_string(i), "desk", domain),
                    0s);
        }
        for (int sample = 0; sample < 20; ++sample) {
            for (const auto *record : directory.records())
                placement.recordLatency(record->id, record->announced.domain == "a" ? 75ms : 30ms,
                                        1s + sample * 10ms);
        }
        for (int i = 0; i < 1000; ++i)
            localFlows[isOn] +=
                directory.find(*placement.choose("desk", {}, 2s))->announced.domain == "a" ? 1 : 0;
    }
    CHECK(localFlows[false] < 200);
    CHECK(localFlows[true] == localFlows[false]);
}

TEST_CASE("Speed and the weight of slow upstreams don't count the same slowness twice",
          "[balancing]")
{
    // A tenth of the flows is the share of an equal upstream. Up to twice the threshold of slow
    // upstreams the speed applies alone, above it the weight of slow upstreams.
    struct expectation
    {
        monotonic_time latency;
        double weight;
    };
    const auto [latency, weight] =
        GENERATE(expectation {50ms, 0.6}, expectation {90ms, 1.0 / 3}, expectation {115ms, 0.26},
                 expectation {125ms, 0.0576}, expectation {600ms, 0.05});
    queueing_fleet fleet(std::vector<double>(10, 1));
    auto &placement = *fleet.instances[0];
    for (int sample = 0; sample < 20; ++sample) {
        for (const upstream_id id : fleet.ids)
            placement.recordLatency(id, id == fleet.ids[0] ? latency : 30ms, 1s + sample * 100ms);
    }
    int count = 0;
    for (int i = 0; i < 10000; ++i)
        count += placement.choose("desk", {}, 4s) == fleet.ids[0] ? 1 : 0;
    CAPTURE(latency.count(), weight);
    CHECK(count == Approx(10000 * weight / (9 + weight)).margin(2));
}

TEST_CASE("An upstream that becomes slow is avoided before its speed is known", "[balancing]")
{
    // Guards against the long average delaying what the short one finds after a few samples.
    queueing_fleet fleet(std::vector<double>(10, 1));
    auto &placement = *fleet.instances[0];
    for (int sample = 0; sample < 20; ++sample) {
        for (const upstream_id id : fleet.ids)
            placement.recordLatency(id, 30ms, 1s);
    }
    for (int sample = 0; sample < 6; ++sample)
        placement.recordUnansweredRequest(fleet.ids[0], 400ms, 2s);
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += placement.choose("desk", {}, 2s) == fleet.ids[0] ? 1 : 0;
    CHECK(count < 10);
}

TEST_CASE("Turning the policy off and on again discards the speeds", "[balancing]")
{
    queueing_fleet fleet(std::vector<double>(10, 1));
    fleet.speeds[0] = 0.6;
    fleet.run(0.3, 20s);
    auto &placement = *fleet.instances[0];
    for (const bool isOn : {false, true}) {
        placement.setBalancingPolicy({isOn});
        int count = 0;
        for (int i = 0; i < 1000; ++i)
            count += placement.choose("desk", {}, fleet.now + 10s) == fleet.ids[0] ? 1 : 0;
        CHECK(count == Approx(100).margin(5));
    }
}
