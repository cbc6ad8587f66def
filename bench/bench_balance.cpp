/**
 * @file bench_balance.cpp
 * Cost of a placement with 14 upstreams, of a health tick at the large size and of a ledger entry.
 */

#include "balance/balance_func.h"
#include "balance/health_base.h"
#include "request/ledger_base.h"

#include <benchmark/benchmark.h>

#include <random>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

struct bench_clock : clock_source
{
    monotonic_time time {1s};
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return {}; }
};

struct bench_random : random_source
{
    std::mt19937_64 engine {3};
    std::uint64_t next() override { return engine(); }
};

struct null_prober : load_prober
{
    void probe(upstream_id, const endpoint &) override { }
};

struct null_outlet : notice_outlet
{
    void spread(const upstream_notice &) override { }
};

/** One instance with services of 14 upstreams in 12 failure domains. */
struct bench_instance
{
    bench_clock clock;
    bench_random random;
    blackboard board;
    flow_limiter limiter {clock, random, board};

    bench_instance(std::uint32_t services, std::uint32_t members)
    {
        auto config = std::make_shared<configuration>();
        config->version = 1;
        std::uint32_t id = 0;
        for (std::uint32_t s = 1; s <= services; ++s) {
            auto service = std::make_shared<service_config>();
            service->id = service_id {s};
            for (int i = 0; i < 14; ++i) {
                upstream_config upstream;
                upstream.id = upstream_id {++id};
                upstream.domain = domain_id(id % 12);
                upstream.health = {id, 80};
                service->upstreams.push_back(upstream);
            }
            for (int i = 0; i < 256; ++i) {
                const auto holder = service->upstreams[i % 14].id;
                service->slots.push_back({holder, holder, true});
            }
            config->services[service->id] = service;
        }
        board.config = config;
        for (std::uint32_t i = 1; i <= members; ++i) {
            member &item = board.members[instance_id {i}];
            item.id = instance_id {i};
            item.domain = domain_id(i % 12);
            item.state = member_state::Ready;
        }
        board.self = board.members[instance_id {1}];
    }
};

void chooseWith(benchmark::State &state, placement_policy &policy, bench_instance &instance)
{
    const service_config &service = *instance.board.config->services.at(service_id {1});
    for (auto _ : state) {
        const flow_hash hash = instance.random.next();
        instance.clock.time += 10us;
        benchmark::DoNotOptimize(policy.choose(service, service.slots[hash & 255], hash));
    }
}

void placeByLoad(benchmark::State &state)
{
    bench_instance instance(1, 15);
    const auto policy = makeLoadAwarePlacement(instance.clock, instance.board, instance.limiter);
    chooseWith(state, *policy, instance);
}

void placeByWeightedHash(benchmark::State &state)
{
    bench_instance instance(1, 15);
    const auto policy = makeWeightedHashPlacement();
    chooseWith(state, *policy, instance);
}

/** 59,000 upstreams and 5,100 members. */
void tickHealth(benchmark::State &state)
{
    bench_instance instance(4214, 5100);
    null_prober prober;
    null_outlet outlet;
    health_controller health(instance.clock, instance.random, instance.board, prober, outlet);
    health.tick();
    for (auto _ : state) {
        instance.clock.time += 100ms;
        health.tick();
    }
}

void changeMembers(benchmark::State &state)
{
    bench_instance instance(4214, 5100);
    null_prober prober;
    null_outlet outlet;
    health_controller health(instance.clock, instance.random, instance.board, prober, outlet);
    for (auto _ : state) {
        ++instance.board.membersRevision;
        health.tick();
    }
}

void decideRequest(benchmark::State &state)
{
    bench_clock clock;
    request_ledger ledger(clock, instance_id {1});
    request_frame frame;
    frame.remainingMs = 500;
    for (auto _ : state) {
        ++frame.requestId;
        clock.time += 500us;
        benchmark::DoNotOptimize(ledger.onRequest(frame.requestId, frame));
        ledger.tick();
    }
}

BENCHMARK(placeByLoad);
BENCHMARK(placeByWeightedHash);
BENCHMARK(tickHealth);
BENCHMARK(changeMembers)->Unit(benchmark::kMillisecond);
BENCHMARK(decideRequest);

} // namespace
