/**
 * @file bench_config.cpp
 * Cost of applying, planning and encoding the configuration, and the memory that it takes.
 *
 * Arguments are numbers of upstreams and services: one service of today, a large user of today, and
 * the whole deployment in two years.
 */

#include "config/config_apply_func.h"
#include "config/config_codec_func.h"
#include "config/config_message_type.h"
#include "config/slot_plan_func.h"
#include "config/store_layout_func.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdlib>
#include <map>

using namespace chicoryhead;

namespace {

using config_pointer = std::shared_ptr<const configuration>;

constexpr std::size_t servicesPerPatch = 500;

config_pointer mustApply(const configuration &base, const config_patch &patch)
{
    std::vector<config_problem> problems;
    auto next = applyPatch(base, patch, problems);
    if (!next)
        std::abort();
    return next.value();
}

patch_operation createService(std::uint32_t number, std::uint32_t firstUpstream,
                              std::uint32_t lastUpstream)
{
    patch_operation operation;
    operation.kind = patch_operation_kind::CreateService;
    operation.service = "service-" + std::to_string(number);
    operation.newService.address = {0x0b000000 + number, 443};
    for (std::uint32_t i = firstUpstream; i < lastUpstream; ++i) {
        upstream_config upstream;
        upstream.name = "upstream-" + std::to_string(i);
        upstream.address = {0x0a000000 + i, 6080};
        upstream.health = {0x0a000000 + i, 8080};
        operation.newService.upstreams.push_back(upstream);
    }
    return operation;
}

config_pointer buildConfiguration(std::uint32_t upstreams, std::uint32_t services)
{
    auto config = std::make_shared<const configuration>();
    config_patch patch {"p", "ama", "bench", 0, wall_time(0), {}};
    for (std::uint32_t i = 0; i < services; ++i) {
        const auto first = static_cast<std::uint32_t>(std::uint64_t {upstreams} * i / services);
        const auto last =
            static_cast<std::uint32_t>(std::uint64_t {upstreams} * (i + 1) / services);
        patch.operations.push_back(createService(i, first + 1, last + 1));
        if (patch.operations.size() < servicesPerPatch && i + 1 < services)
            continue;
        config = mustApply(*config, patch);
        patch.operations.clear();
        patch.baseVersion = config->version;
    }
    return config;
}

config_pointer configurationOf(const benchmark::State &state)
{
    static std::map<std::int64_t, config_pointer> built;
    auto &config = built[state.range(0)];
    if (!config)
        config = buildConfiguration(static_cast<std::uint32_t>(state.range(0)),
                                    static_cast<std::uint32_t>(state.range(1)));
    return config;
}

config_patch oneChange(const configuration &config)
{
    config_patch patch {"one", "ama", "bench", config.version, wall_time(0), {}};
    patch_operation &operation = patch.operations.emplace_back();
    operation.kind = patch_operation_kind::SetWeight;
    const service_config &service = *config.services.rbegin()->second;
    operation.service = service.name;
    operation.upstream = service.upstreams.front().name;
    operation.weight = 50;
    return patch;
}

void applySizes(benchmark::internal::Benchmark *bench)
{
    bench->Args({14, 1})->Args({1000, 160})->Args({59000, 9200})->Unit(benchmark::kMicrosecond);
}

void applyWhole(benchmark::State &state)
{
    const auto change = computeChange({}, *configurationOf(state));
    for (auto _ : state)
        benchmark::DoNotOptimize(applyChange({}, change));
}
BENCHMARK(applyWhole)->Apply(applySizes);

void applyOnePatch(benchmark::State &state)
{
    const auto config = configurationOf(state);
    const auto patch = oneChange(*config);
    for (auto _ : state)
        benchmark::DoNotOptimize(mustApply(*config, patch));
}
BENCHMARK(applyOnePatch)->Apply(applySizes);

void applyOneChange(benchmark::State &state)
{
    const auto config = configurationOf(state);
    const auto change = computeChange(*config, *mustApply(*config, oneChange(*config)));
    for (auto _ : state)
        benchmark::DoNotOptimize(applyChange(*config, change));
    state.counters["bytes"] = static_cast<double>(encodeChange(change).size());
}
BENCHMARK(applyOneChange)->Apply(applySizes);

/** Argument: upstreams of one service; one of them is leaving. */
void planTable(benchmark::State &state)
{
    const auto config = buildConfiguration(static_cast<std::uint32_t>(state.range(0)), 1);
    service_config changed = *config->services.begin()->second;
    changed.upstreams.front().mode = upstream_mode::Leaving;
    for (auto _ : state) {
        service_config service = changed;
        planSlots(service);
        benchmark::DoNotOptimize(service);
    }
}
BENCHMARK(planTable)->Arg(4)->Arg(14)->Arg(1000)->Unit(benchmark::kMicrosecond);

void encodeWhole(benchmark::State &state)
{
    const auto config = configurationOf(state);
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = encodeSnapshot({computeChange({}, *config), {}}).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeWhole)->Apply(applySizes);

void decodeWhole(benchmark::State &state)
{
    const auto bytes = encodeSnapshot({computeChange({}, *configurationOf(state)), {}});
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeSnapshot(bytes));
}
BENCHMARK(decodeWhole)->Apply(applySizes);

config_page fullPage()
{
    config_page page {1, false, {}};
    const std::size_t room = maxPageBytes - pageHeaderBytes - pieceHeaderBytes;
    page.pieces.push_back({1, 100000, 0, std::vector<std::uint8_t>(room, 7)});
    return page;
}

void encodePage(benchmark::State &state)
{
    const auto page = fullPage();
    for (auto _ : state)
        benchmark::DoNotOptimize(encodeBinary(1, page));
    state.counters["bytes"] = static_cast<double>(encodeBinary(1, page).size());
}
BENCHMARK(encodePage);

void decodePage(benchmark::State &state)
{
    const auto bytes = encodeBinary(1, fullPage());
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeBinary<config_page>(1, bytes));
}
BENCHMARK(decodePage);

/** Heap bytes of one configuration, and of one more version of it. */
void memoryOfConfiguration(benchmark::State &state)
{
    const auto change = computeChange({}, *configurationOf(state));
    double whole = 0;
    double another = 0;
    for (auto _ : state) {
        const auto start = mallinfo2();
        const auto config = applyChange({}, change).value();
        const auto patch = oneChange(*config);
        const auto built = mallinfo2();
        const auto next = mustApply(*config, patch);
        const auto end = mallinfo2();
        whole = static_cast<double>(built.uordblks + built.hblkhd)
            - static_cast<double>(start.uordblks + start.hblkhd);
        another = static_cast<double>(end.uordblks + end.hblkhd)
            - static_cast<double>(built.uordblks + built.hblkhd);
    }
    state.counters["whole_bytes"] = whole;
    state.counters["next_version_bytes"] = another;
}
BENCHMARK(memoryOfConfiguration)->Apply(applySizes)->Iterations(1);

} // namespace
