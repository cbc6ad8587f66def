/**
 * @file test_limits.cpp
 * Admission of new flows.
 */

#include "balance/limits_base.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

struct fake_clock : clock_source
{
    monotonic_time time {1s};
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return {}; }
};

struct seeded_random : random_source
{
    std::mt19937_64 engine {11};
    std::uint64_t next() override { return engine(); }
};

struct fixture
{
    fake_clock clock;
    seeded_random random;
    blackboard board;
    flow_limiter limiter;
    service_config a;
    service_config b;

    explicit fixture(limiter_settings settings = {}, std::uint32_t members = 15)
        : limiter(clock, random, board, settings)
    {
        for (std::uint32_t i = 1; i <= members; ++i)
            board.members[instance_id {i}].state = member_state::Ready;
        a.id = service_id {1};
        b.id = service_id {2};
        auto config = std::make_shared<configuration>();
        config->services[a.id] = std::make_shared<service_config>(a);
        config->services[b.id] = std::make_shared<service_config>(b);
        board.config = config;
    }

    /** Offers flows evenly over 10 s. @return flows admitted per second, for both services. */
    std::pair<double, double> offer(int perSecondA, int perSecondB)
    {
        std::pair<double, double> admitted;
        const int total = perSecondA + perSecondB;
        for (int i = 0; i < total * 10; ++i) {
            clock.time += 1000000us / total;
            const bool isA = static_cast<int>(random.next() % total) < perSecondA;
            if (limiter.admit(isA ? a : b))
                (isA ? admitted.first : admitted.second) += 0.1;
        }
        return admitted;
    }
};

} // namespace

TEST_CASE("an instance admits its share of a service's limit", "[limits]")
{
    fixture f;
    f.a.limits.newFlowsPerSecond = 1500;
    CHECK(f.offer(1000, 1).first == Approx(100).epsilon(0.1));
}

TEST_CASE("the share grows when members leave, so that the service's limit stays", "[limits]")
{
    fixture f({}, 5);
    f.a.limits.newFlowsPerSecond = 1500;
    CHECK(f.offer(1000, 1).first == Approx(300).epsilon(0.1));
}

TEST_CASE("a flooded service leaves the other its fair share", "[limits]")
{
    fixture f({.flowsPerSecond = 200});
    const auto [flooded, quiet] = f.offer(2000, 80);
    CHECK(quiet == Approx(80).epsilon(0.1));
    CHECK(flooded == Approx(120).epsilon(0.15));
}

TEST_CASE("retries are at most a tenth of new flows", "[limits]")
{
    fixture f;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        f.limiter.admit(f.a);
        retries += f.limiter.admitRetry(f.a) ? 1 : 0;
    }
    CHECK(retries <= 100);
    CHECK(retries >= 95);
}

TEST_CASE("retry-after has jitter of half its mean both ways", "[limits]")
{
    fixture f;
    double sum = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto wait = f.limiter.retryAfterMs(f.a);
        REQUIRE(wait >= 250);
        REQUIRE(wait <= 750);
        sum += wait;
    }
    CHECK(sum / 2000 == Approx(500).epsilon(0.03));
}

TEST_CASE("memory pressure refuses some flows early and all at the bound", "[limits]")
{
    fixture f({.maxMemoryBytes = 1000});
    f.limiter.onPressure({.memoryBytes = 890});
    CHECK(f.limiter.admit(f.a));
    f.limiter.onPressure({.memoryBytes = 950});
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += f.limiter.admit(f.a) ? 1 : 0;
    CHECK(admitted == Approx(500).margin(60));
    f.limiter.onPressure({.memoryBytes = 1000});
    CHECK_FALSE(f.limiter.admit(f.a));
}

TEST_CASE("a service at its bound of held flows takes no new ones", "[limits]")
{
    fixture f;
    f.a.limits.maxFlows = 100;
    f.a.upstreams.emplace_back().id = upstream_id {1};
    f.board.upstreams[upstream_id {1}].openFlows = 99;
    CHECK(f.limiter.admit(f.a));
    f.board.upstreams[upstream_id {1}].openFlows = 100;
    CHECK_FALSE(f.limiter.admit(f.a));
}
