/**
 * @file bench_entry.cpp
 * Benchmarks of the cost of one instance per packet, per upstream and per route.
 */

#include "directory/directory_base.h"
#include "eventlog/event_log_base.h"
#include "forward/forwarder_base.h"
#include "placement/domain_first_placement_base.h"
#include "platform/record_codec.h"
#include "platform/standin_codec.h"
#include "routing/routing_base.h"
#include "sync/fleet_state_base.h"
#include "sync/state_codec_func.h"
#include "system/system_base.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <fcntl.h>

#include <array>
#include <cstdio>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

/// Upstreams per service, as in the users' deployments.
constexpr std::size_t upstreamsPerService = 7;
constexpr endpoint firstService {0xc6120001, 443};

std::string nameOf(std::size_t number)
{
    std::array<char, 16> name {};
    std::snprintf(name.data(), name.size(), "i-%08zx", number * 2654435761U % 0xffffffffU);
    return name.data();
}

upstream_announcement upstreamOf(std::size_t number)
{
    upstream_announcement announced;
    announced.name = nameOf(number);
    announced.wireId = number + 1;
    announced.service = "service-" + std::to_string(number / upstreamsPerService);
    announced.address = {static_cast<std::uint32_t>(0x0a000000 + number), 8080};
    announced.domain = "domain-" + std::to_string(number % 3);
    announced.slots = 3;
    return announced;
}

routing_config configOf(std::size_t routes)
{
    routing_config config;
    config.version = 1;
    for (std::size_t i = 0; i < routes; ++i)
        config.routes.push_back({"route-" + std::to_string(i),
                                 {static_cast<std::uint32_t>(firstService.address + i), 443},
                                 {{"service-" + std::to_string(i), 1}},
                                 200ms,
                                 1200ms,
                                 1,
                                 true});
    return config;
}

/** The modules of an instance, without sockets. */
struct instance_parts
{
    explicit instance_parts(std::size_t upstreams)
    {
        fleet_changes changes {1, {configOf(upstreams / upstreamsPerService + 1)}};
        for (std::size_t i = 0; i < upstreams; ++i)
            changes.changes.emplace_back(upstreamOf(i));
        state.replace(changes, false, 1s);
    }

    boot_clock_source clock;
    event_log log {::open("/dev/null", O_WRONLY), clock};
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"domain-0", 3, 1}};
    upstream_health health {directory, "f-1", "a"};
    latency_exchange latencies {directory, placement};
    forwarder path {routes, directory, placement, health, latencies};
    fleet_state state {routes, directory, placement, log};
};

caller_packet openingOf(std::uint32_t number)
{
    caller_packet packet;
    packet.flow.caller = {0x64400000 + (number >> 14U),
                          static_cast<std::uint16_t>(number & 0x3fffU)};
    packet.flow.service = firstService;
    packet.isOpening = true;
    packet.sequence = number;
    return packet;
}

void decideOpening(benchmark::State &state)
{
    instance_parts parts(static_cast<std::size_t>(state.range(0)));
    std::uint32_t number = 0;
    monotonic_time now = 2s;
    for (auto _ : state) {
        benchmark::DoNotOptimize(parts.path.decide(openingOf(++number), true, now += 4us));
        if (number % 250000 == 0)
            parts.path.expire(now);
    }
}
BENCHMARK(decideOpening)->Arg(18)->Arg(150)->Arg(59000);

/// Opening packets to one service with recent latencies of all its upstreams, with balancing by
/// expected wait off (0) or on (1).
void decideOpeningMeasured(benchmark::State &state)
{
    instance_parts parts(0);
    for (std::size_t i = 0; i < static_cast<std::size_t>(state.range(0)); ++i) {
        auto announced = upstreamOf(i);
        announced.service = "service-0";
        parts.directory.announce(announced, 1s);
    }
    parts.placement.setBalancingPolicy({state.range(1) != 0});
    std::uint32_t number = 0;
    monotonic_time now = 2s;
    for (auto _ : state) {
        if (number % 250000 == 0) {
            state.PauseTiming();
            parts.path.expire(now);
            for (int sample = 0; sample < 16; ++sample) {
                for (const auto *record : parts.directory.records())
                    parts.placement.recordLatency(record->id,
                                                  20ms + 10ms * (idValue(record->id) % 3), now);
            }
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(parts.path.decide(openingOf(++number), true, now += 4us));
    }
}
BENCHMARK(decideOpeningMeasured)->ArgsProduct({{18, 150}, {0, 1}});

void decideSteered(benchmark::State &state)
{
    instance_parts parts(static_cast<std::size_t>(state.range(0)));
    auto packet = openingOf(1);
    packet.tag = parts.path.decide(packet, true, 2s).tag;
    packet.isOpening = false;
    packet.dataBytes = 100;
    for (auto _ : state) {
        packet.sequence += 100;
        packet.acknowledged += 100;
        benchmark::DoNotOptimize(parts.path.decide(packet, true, 2s));
    }
}
BENCHMARK(decideSteered)->Arg(18)->Arg(59000);

void decodeConfiguration(benchmark::State &state)
{
    const std::string text =
        platform::encodeConfig(configOf(static_cast<std::size_t>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(platform::decodeConfig(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(decodeConfiguration)->Arg(12)->Arg(333)->Arg(9200)->Unit(benchmark::kMicrosecond);

/// Sends a change of one upstream from one instance to another, as the full state or as the
/// difference.
void passChange(benchmark::State &state, bool isFullState)
{
    instance_parts sender(static_cast<std::size_t>(state.range(0)));
    instance_parts receiver(static_cast<std::size_t>(state.range(0)));
    std::uint64_t revision = 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        sender.state.apply({++revision, {upstreamOf(0)}}, false, 2s);
        const auto known = isFullState ? store_revision {} : receiver.state.revision();
        const auto encoded =
            encodeState(sender.state.snapshot(receiver.state.configVersion(), known, 2s));
        const auto decoded = decodeState(encoded);
        bytes = encoded.size();
        benchmark::DoNotOptimize(receiver.state.adopt(decoded.value(), 2s, 2s));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void passWholeState(benchmark::State &state)
{
    passChange(state, true);
}
BENCHMARK(passWholeState)->Arg(18)->Arg(150)->Arg(15000)->Arg(59000)->Unit(benchmark::kMicrosecond);

void passDifference(benchmark::State &state)
{
    passChange(state, false);
}
BENCHMARK(passDifference)->Arg(18)->Arg(150)->Arg(15000)->Arg(59000)->Unit(benchmark::kMicrosecond);

void heapOfInstance(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        const instance_parts parts(static_cast<std::size_t>(state.range(0)));
        bytes = mallinfo2().uordblks - before;
    }
    state.counters["heap_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heapOfInstance)->Arg(18)->Arg(150)->Arg(15000)->Arg(59000)->Unit(benchmark::kMillisecond);

} // namespace
