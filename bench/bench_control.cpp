/**
 * @file bench_control.cpp
 * Control work of one whole instance for one second of virtual time, and the memory of its control
 * state, by the number of members and of upstreams in the configuration.
 *
 * Each second holds 100 ticks, the pings and acknowledgements that SWIM sends on average, the
 * gossip of 12,000 restarts and 18,000 configuration changes a day in proportion to the members,
 * and the probes that fall to this instance.
 */

#include "daemon/system_base.h"
#include "instance/instance_base.h"
#include "peer/peer_func.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <random>

namespace {

using namespace chicoryhead;
using std::chrono::milliseconds;

constexpr std::uint32_t domainCount = 12;
constexpr std::uint32_t servicesPerPatch = 200;
constexpr double fleetMembers = 5100;
constexpr double restartsPerSecond = 12'000.0 / 86'400;
constexpr double changesPerSecond = 18'000.0 / 86'400;
const std::string key = "key of the benchmark";

class manual_clock : public clock_source
{
public:
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override
    {
        return wall_time(1'800'000'000) + std::chrono::duration_cast<wall_time>(time);
    }
    monotonic_time time = std::chrono::seconds(1);
};

class engine_random : public random_source
{
public:
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine {1};
};

/** Accepts every write; answers are delivered by deliver(). */
class accepting_store : public key_value_store
{
public:
    void get(const std::string &name, get_handler handler) override
    {
        m_answers.push_back([name, handler] { handler(key_value {name, {}, 0}); });
    }
    void watch(const std::string &, std::uint64_t, monotonic_time, get_handler) override { }
    void put(const std::string &, std::string, std::uint64_t, put_handler handler) override
    {
        m_answers.push_back([handler] { handler(true); });
    }
    void remove(const std::string &, put_handler handler) override
    {
        m_answers.push_back([handler] { handler(true); });
    }
    void listKeys(const std::string &, keys_handler handler) override
    {
        m_answers.push_back([handler] { handler(std::vector<std::string> {}); });
    }
    void listInstances(list_handler) override { }

    void deliver()
    {
        auto answers = std::move(m_answers);
        m_answers.clear();
        for (const auto &answer : answers)
            answer();
    }

private:
    std::deque<std::function<void()>> m_answers;
};

/** One instance among members that exist only as messages. */
class control_rig : public packet_sink, public peer_sink, public load_prober
{
public:
    control_rig(std::uint32_t members, std::uint32_t upstreams, std::uint32_t services)
        : m_members(members), m_codec(key)
    {
        instance_settings settings;
        settings.id = instance_id {1};
        settings.domain = domain_id {1};
        settings.peerAddress = {0x7f000001, 1};
        settings.peerKey = key;
        settings.membership.joining = milliseconds(0);
        settings.steering.maxFlows = 1024;             // data, not control
        settings.messenger.bytesPerSecond = 1'000'000; // measured, not limited
        m_instance = std::make_unique<instance>(
            settings, instance_environment {m_clock, m_random, *this, *this, *this, m_store});
        addMembers();
        createServices(upstreams, services);
    }

    /** One second of virtual time with its share of the fleet's events. */
    void runSecond()
    {
        for (int tick = 0; tick < 100; ++tick) {
            m_clock.time += milliseconds(10);
            m_instance->tick();
            m_store.deliver();
            answerPings();
        }
        // On average each member is pinged once a second.
        receive(someMember(), [](peer_message &message) {
            message.probe = {probe_kind::Ping, 1, instance_id {1}};
        });
        const double share = m_members / fleetMembers;
        m_dueRestarts += restartsPerSecond * share;
        while (m_dueRestarts >= 1) {
            --m_dueRestarts;
            restartOne();
        }
        m_dueChanges += changesPerSecond;
        while (m_dueChanges >= 1) {
            --m_dueChanges;
            changeWeight();
        }
    }

    /** Control bytes sent so far. */
    std::uint64_t bytesSent() const { return m_instance->board().counters.peerBytesSent; }
    /** Probes started so far. */
    std::uint64_t probes() const { return m_probes; }

    void sendToUpstream(const endpoint &, std::span<const std::byte>) override { }
    void sendToCaller(std::span<const std::byte>) override { }
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        const auto message = m_codec.decode(datagram);
        if (message && message.value().probe && message.value().probe->kind == probe_kind::Ping)
            m_pings.push_back({peer, message.value().probe->sequence});
    }
    void probe(upstream_id upstream, const endpoint &) override
    {
        ++m_probes;
        load_report report;
        report.isHealthy = true;
        report.sequence = m_probes;
        m_instance->onProbeOutcome(upstream, report);
    }

private:
    struct ping
    {
        endpoint target;
        std::uint32_t sequence = 0;
    };

    member_update updateOf(std::uint32_t number, std::uint32_t incarnation, member_state state)
    {
        return {instance_id {number},
                {0x0a000000 + number, 9001},
                domain_id {static_cast<std::uint16_t>(1 + number % domainCount)},
                incarnation,
                state};
    }

    std::uint32_t someMember()
    {
        return 2 + static_cast<std::uint32_t>(m_random.next() % (m_members - 1));
    }

    template<typename Fill>
    void receive(std::uint32_t sender, Fill fill)
    {
        peer_message message;
        message.sender = updateOf(sender, m_incarnations[sender], member_state::Ready);
        message.version = m_instance->board().config->version;
        fill(message);
        m_instance->onPeerDatagram(m_codec.encode(message), message.sender.address);
    }

    void addMembers()
    {
        for (std::uint32_t number = 2; number <= m_members; ++number) {
            m_incarnations[number] = 1;
            receive(number, [](peer_message &) {});
        }
    }

    void answerPings()
    {
        for (const auto &one : m_pings) {
            receive(one.target.address - 0x0a000000, [&](peer_message &message) {
                message.probe = {probe_kind::Ack, one.sequence, message.sender.id};
            });
        }
        m_pings.clear();
    }

    /** A member leaves and joins again: four updates that arrive by gossip. */
    void restartOne()
    {
        const std::uint32_t number = someMember();
        for (const auto state : {member_state::Leaving, member_state::Dead, member_state::Joining,
                                 member_state::Ready}) {
            const auto update = updateOf(number, ++m_incarnations[number], state);
            receive(someMember(), [&](peer_message &message) {
                if (message.sender.id != update.id)
                    message.updates.push_back(update);
            });
        }
    }

    void createServices(std::uint32_t upstreams, std::uint32_t services)
    {
        std::uint32_t made = 0;
        config_patch patch = nextPatch();
        for (std::uint32_t number = 0; number < services; ++number) {
            patch_operation create;
            create.kind = patch_operation_kind::CreateService;
            create.service = create.newService.name = "service-" + std::to_string(number);
            create.newService.address = {0x0b000000 + number, 443};
            const std::uint32_t end = upstreams * (number + 1) / services;
            for (; made < end; ++made) {
                upstream_config upstream;
                upstream.name = "u" + std::to_string(made);
                upstream.domain = domain_id {static_cast<std::uint16_t>(1 + made % domainCount)};
                upstream.address = {0x0c000000 + made, 6080};
                upstream.health = {0x0c000000 + made, 8080};
                create.newService.upstreams.push_back(upstream);
            }
            patch.operations.push_back(create);
            if (patch.operations.size() == servicesPerPatch || number + 1 == services) {
                submit(patch);
                patch = nextPatch();
            }
        }
    }

    config_patch nextPatch()
    {
        config_patch patch;
        patch.id = "patch-" + std::to_string(++m_patches);
        patch.author = "bench";
        patch.reason = "benchmark";
        return patch;
    }

    void submit(config_patch patch)
    {
        const config_version before = m_instance->board().config->version;
        patch.baseVersion = before;
        m_instance->submit(patch, [](const patch_outcome &outcome) {
            if (!outcome.code)
                return;
            std::cerr << "benchmark patch refused: " << outcome.code.message() << '\n';
            std::abort();
        });
        for (int step = 0; step < 1000 && m_instance->board().config->version == before; ++step) {
            m_clock.time += milliseconds(10);
            m_instance->tick();
            m_store.deliver();
            answerPings();
        }
    }

    void changeWeight()
    {
        config_patch patch = nextPatch();
        patch_operation weight;
        weight.kind = patch_operation_kind::SetWeight;
        weight.service = "service-0";
        weight.upstream = "u0";
        weight.weight = static_cast<std::uint16_t>(50 + m_patches % 100);
        patch.operations.push_back(weight);
        patch.baseVersion = m_instance->board().config->version;
        m_instance->submit(patch, [](const patch_outcome &) {});
    }

    std::uint32_t m_members;
    manual_clock m_clock;
    engine_random m_random;
    accepting_store m_store;
    peer_codec m_codec;
    std::unique_ptr<instance> m_instance;
    std::map<std::uint32_t, std::uint32_t> m_incarnations;
    std::vector<ping> m_pings;
    std::uint64_t m_probes = 0;
    std::uint64_t m_patches = 0;
    double m_dueRestarts = 0;
    double m_dueChanges = 0;
};

/// Slopes by members, at the configuration of one user; then by upstreams, at one domain.
void controlSizes(benchmark::internal::Benchmark *bench)
{
    bench->Args({15, 18, 2})->Args({425, 18, 2})->Args({5100, 18, 2});
    bench->Args({425, 1000, 160})->Args({425, 59'000, 9200})->Args({5100, 59'000, 9200});
}

void controlSecond(benchmark::State &state)
{
    const auto heapBefore = mallinfo2().uordblks;
    control_rig rig(static_cast<std::uint32_t>(state.range(0)),
                    static_cast<std::uint32_t>(state.range(1)),
                    static_cast<std::uint32_t>(state.range(2)));
    for (int second = 0; second < 5; ++second)
        rig.runSecond();
    const auto sentBefore = rig.bytesSent();
    const auto probesBefore = rig.probes();
    for (auto unused : state) {
        (void)unused;
        rig.runSecond();
    }
    const auto seconds = static_cast<double>(state.iterations());
    state.counters["control_bytes_per_second"] =
        static_cast<double>(rig.bytesSent() - sentBefore) / seconds;
    state.counters["probes_per_second"] =
        static_cast<double>(rig.probes() - probesBefore) / seconds;
    state.counters["heap_mb"] = static_cast<double>(mallinfo2().uordblks - heapBefore) / 1e6;
}
BENCHMARK(controlSecond)
    ->Name("control/second")
    ->Apply(controlSizes)
    ->Iterations(60)
    ->Unit(benchmark::kMillisecond);

} // namespace
