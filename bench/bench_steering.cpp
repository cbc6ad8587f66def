/**
 * @file bench_steering.cpp
 * Cost of steering decisions, of the flow table and of the choice of homes.
 */

#include "flow/flow_base.h"
#include "steering/homes_base.h"
#include "steering/steering_func.h"

#include <benchmark/benchmark.h>

#include <optional>
#include <random>

using namespace chicoryhead;

namespace {

constexpr std::uint32_t upstreamCount = 14;
constexpr std::size_t slotCount = 256;
constexpr std::size_t packetCount = 1 << 16;

class fixed_clock : public clock_source
{
public:
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return wall_time {1'700'000'000}; }
    monotonic_time time = std::chrono::seconds(1000);
};

class holder_placement : public placement_policy
{
public:
    upstream_id choose(const service_config &, const slot_entry &slot, flow_hash) override
    {
        return slot.next;
    }
    bool isDeflected(const service_config &, upstream_id) const override { return false; }
    bool wasDeflected(upstream_id) const override { return false; }
    bool admit(const service_config &) override { return true; }
};

class no_handover : public handover_sink
{
public:
    void sendHandover(instance_id, const flow_record &) override { }
};

void addMembers(blackboard &board, std::size_t count)
{
    for (std::size_t index = 1; index <= count; ++index) {
        member one;
        one.id = static_cast<instance_id>(index);
        one.domain = static_cast<domain_id>(index % 3);
        one.state = member_state::Ready;
        one.version = 1;
        board.members[one.id] = one;
    }
    board.self = board.members.begin()->second;
    ++board.membersRevision;
}

std::shared_ptr<const configuration> makeConfig(bool tracked)
{
    auto service = std::make_shared<service_config>();
    service->id = static_cast<service_id>(1);
    for (std::uint32_t id = 1; id <= upstreamCount; ++id) {
        upstream_config one;
        one.id = static_cast<upstream_id>(id);
        service->upstreams.push_back(one);
    }
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        const upstream_id holder = service->upstreams[slot % upstreamCount].id;
        service->slots.push_back({holder, holder, tracked});
    }
    auto config = std::make_shared<configuration>();
    config->version = 1;
    config->services[service->id] = service;
    return config;
}

enum class policy_kind { Plain, Tracked };

/** One instance with a policy and prepared packets. */
struct bench_instance
{
    bench_instance(policy_kind kind, std::size_t flows, std::size_t members, bool tracked)
    {
        addMembers(board, members);
        board.config = makeConfig(tracked);
        steering_settings settings;
        settings.maxFlows = flows;
        policy = kind == policy_kind::Tracked
            ? makeTrackedSlotPolicy(board, clock, placement, handover, settings)
            : makePlainHashPolicy(board, clock, placement, handover, settings);
        policy->onChange();
        std::mt19937_64 random(1);
        input.service = board.config->services.begin()->second.get();
        for (std::size_t flow = 0; flow < flows; ++flow) {
            input.hash = random();
            input.packet.kind = packet_kind::OpenReply;
            hashes.push_back(input.hash);
            const slot_entry &slot = input.service->slots[input.hash & (slotCount - 1)];
            policy->steerReply(input, slot.holder);
        }
        input.packet.kind = packet_kind::Data;
        for (std::size_t packet = 0; packet < packetCount; ++packet)
            hits.push_back(hashes[random() % hashes.size()]);
        // Fills the buckets of homes; fillBucket measures that.
        for (std::size_t bucket = 0; tracked && bucket < homeBucketCount; ++bucket) {
            input.hash = bucket << 48;
            policy->steer(input);
        }
    }

    fixed_clock clock;
    holder_placement placement;
    no_handover handover;
    blackboard board;
    std::unique_ptr<steering_policy> policy;
    steering_input input;
    std::vector<flow_hash> hashes;
    std::vector<flow_hash> hits;
};

void decide(benchmark::State &state, policy_kind kind, bool tracked, bool hit)
{
    bench_instance instance(kind, static_cast<std::size_t>(state.range(0)),
                            static_cast<std::size_t>(state.range(1)), tracked);
    std::mt19937_64 random(2);
    std::size_t at = 0;
    for (auto _ : state) {
        instance.input.hash = hit ? instance.hits[at++ % packetCount] : random();
        benchmark::DoNotOptimize(instance.policy->steer(instance.input));
    }
}

void decideSizes(benchmark::internal::Benchmark *bench)
{
    bench->ArgsProduct({{10'000, 100'000, 1'000'000}, {15, 425, 5100}});
    bench->ArgNames({"flows", "members"});
}

BENCHMARK_CAPTURE(decide, plain_hit, policy_kind::Plain, false, true)->Apply(decideSizes);
BENCHMARK_CAPTURE(decide, untracked_hit, policy_kind::Tracked, false, true)->Apply(decideSizes);
BENCHMARK_CAPTURE(decide, tracked_hit, policy_kind::Tracked, true, true)->Apply(decideSizes);
BENCHMARK_CAPTURE(decide, plain_miss, policy_kind::Plain, false, false)->Apply(decideSizes);
BENCHMARK_CAPTURE(decide, untracked_miss, policy_kind::Tracked, false, false)->Apply(decideSizes);
BENCHMARK_CAPTURE(decide, tracked_miss, policy_kind::Tracked, true, false)->Apply(decideSizes);

void insertFlows(benchmark::State &state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    flow_table table(flows);
    std::mt19937_64 random(1);
    flow_time now = 0;
    for (auto _ : state) {
        table.insert(random(), static_cast<upstream_id>(1), flow_state::Established, now / 64);
        ++now;
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(table.memoryBytes()) / static_cast<double>(flows);
}
BENCHMARK(insertFlows)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

/** Time per flow of an expiry that goes round a full table and removes nothing. */
void expireFlows(benchmark::State &state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    flow_table table(flows);
    std::mt19937_64 random(1);
    for (std::size_t flow = 0; flow < flows; ++flow)
        table.insert(random(), static_cast<upstream_id>(1), flow_state::Established, 0);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.expire(1, table.groupCount()));
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(expireFlows)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void lookUpHomes(benchmark::State &state)
{
    blackboard board;
    addMembers(board, static_cast<std::size_t>(state.range(0)));
    const fixed_clock clock;
    home_table homes(board, clock);
    std::mt19937_64 random(1);
    for (std::size_t bucket = 0; bucket < homeBucketCount; ++bucket)
        homes.bucketHomes(bucket);
    for (auto _ : state)
        benchmark::DoNotOptimize(homes.flowHomes(random()));
}
BENCHMARK(lookUpHomes)->Arg(15)->Arg(425)->Arg(5100);

/** First use of a bucket, which scores all members. */
void fillBucket(benchmark::State &state)
{
    blackboard board;
    addMembers(board, static_cast<std::size_t>(state.range(0)));
    const fixed_clock clock;
    std::optional<home_table> homes(std::in_place, board, clock);
    std::size_t bucket = 0;
    for (auto _ : state) {
        if (bucket == homeBucketCount) {
            state.PauseTiming();
            homes.emplace(board, clock);
            bucket = 0;
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(homes->bucketHomes(bucket++));
    }
}
BENCHMARK(fillBucket)->Arg(15)->Arg(425)->Arg(5100);

/** One member leaves and comes back, with all buckets in use. */
void changeMember(benchmark::State &state)
{
    blackboard board;
    addMembers(board, static_cast<std::size_t>(state.range(0)));
    const fixed_clock clock;
    home_table homes(board, clock);
    for (std::size_t bucket = 0; bucket < homeBucketCount; ++bucket)
        homes.bucketHomes(bucket);
    member &one = board.members[static_cast<instance_id>(7)];
    for (auto _ : state) {
        one.state = one.state == member_state::Ready ? member_state::Leaving : member_state::Ready;
        ++board.membersRevision;
        benchmark::DoNotOptimize(homes.bucketHomes(0));
    }
}
BENCHMARK(changeMember)->Arg(15)->Arg(425)->Arg(5100);

} // namespace
