/**
 * @file bench_forwarding.cpp
 * Packets through one instance on real sockets, against a bare receive-and-send loop of the same
 * process shape. Only the CPU time of receiving, deciding and sending counts; generating the
 * packets and emptying the target socket do not.
 */

#include "daemon/system_base.h"
#include "daemon/udp_socket_base.h"
#include "instance/instance_base.h"
#include "packet/packet_func.h"

#include <asio/post.hpp>
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <random>

namespace {

using namespace chicoryhead;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t batch = 64;
constexpr std::size_t flowCount = 100'000;
constexpr std::size_t payloadBytes = 200;
constexpr std::uint32_t upstreamCount = 14;
const endpoint service {0x0a0a0001, 443};

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** Empty store that accepts every write; enough to put one version in force. */
class accepting_store : public key_value_store
{
public:
    explicit accepting_store(asio::io_context &context) : m_context(context) { }

    void get(const std::string &key, get_handler handler) override
    {
        asio::post(m_context, [key, handler] { handler(key_value {key, {}, 0}); });
    }
    void watch(const std::string &, std::uint64_t, monotonic_time, get_handler) override { }
    void put(const std::string &, std::string, std::uint64_t, put_handler handler) override
    {
        asio::post(m_context, [handler] { handler(true); });
    }
    void remove(const std::string &, put_handler) override { }
    void listKeys(const std::string &, keys_handler handler) override
    {
        asio::post(m_context, [handler] { handler(std::vector<std::string> {}); });
    }
    void listInstances(list_handler) override { }

private:
    asio::io_context &m_context;
};

/** Sockets around the code under test, all in one thread. */
class rig : public packet_sink, public peer_sink, public load_prober
{
public:
    explicit rig(bool isBare)
        : m_isBare(isBare)
        , m_generator(m_context, asio::ip::udp::endpoint(asio::ip::address_v4(loopback), 0))
        , m_target(m_context, asio::ip::udp::endpoint(asio::ip::udp::v4(), 0))
        , m_data(m_context, {loopback, 0},
                 [this](auto bytes, const endpoint &from) { onDatagram(bytes, from); })
    {
        m_target.non_blocking(true);
        m_data.start();
        if (!isBare)
            startInstance();
        std::mt19937 random(1); // NOLINT(cert-msc51-cpp): fixed seed
        for (std::size_t flow = 0; flow < flowCount; ++flow) {
            const endpoint caller {0x0a010000 + static_cast<std::uint32_t>(flow / 1000),
                                   static_cast<std::uint16_t>(1024 + flow % 1000)};
            m_packets.push_back(
                buildUdpPacket(caller, service, std::vector<std::byte>(payloadBytes)));
        }
        std::shuffle(m_packets.begin(), m_packets.end(), random);
    }

    /** Sends one batch through the code under test. @return its CPU time in seconds. */
    double forwardBatch()
    {
        for (std::size_t index = 0; index < batch; ++index) {
            const auto &packet = m_packets[m_next++ % m_packets.size()];
            m_generator.send_to(asio::buffer(packet), dataEndpoint());
        }
        const std::size_t before = m_received;
        const double startedAt = threadSeconds();
        while (m_received < before + batch)
            m_context.poll_one();
        const double seconds = threadSeconds() - startedAt;
        drainTarget();
        return seconds;
    }

    void sendToUpstream(const endpoint &upstream, std::span<const std::byte> packet) override
    {
        m_data.send(upstream, packet);
    }
    void sendToCaller(std::span<const std::byte> packet) override
    {
        m_data.send(targetAddress(), packet);
    }
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        (void)peer;
        (void)datagram;
    }
    void probe(upstream_id upstream, const endpoint &health) override
    {
        (void)upstream;
        (void)health;
    }

private:
    endpoint targetAddress() const { return {loopback, m_target.local_endpoint().port()}; }

    /** Addresses that all reach the target socket, so that both loops send to 14 addresses. */
    endpoint upstreamAddress(std::uint32_t index) const
    {
        return {loopback + (index << 8), m_target.local_endpoint().port()};
    }

    asio::ip::udp::endpoint dataEndpoint() const
    {
        return {asio::ip::address_v4(loopback), m_data.localPort()};
    }

    void onDatagram(std::span<const std::byte> bytes, const endpoint &from)
    {
        ++m_received;
        if (m_isBare)
            m_data.send(upstreamAddress(1 + static_cast<std::uint32_t>(m_received % upstreamCount)),
                        bytes);
        else
            m_instance->onFabricPacket(bytes, from);
    }

    void drainTarget()
    {
        std::array<std::byte, maxDatagramBytes> buffer {};
        std::error_code code;
        while (m_target.receive(asio::buffer(buffer), 0, code) > 0 && !code) { }
    }

    void startInstance()
    {
        instance_settings settings;
        settings.id = instance_id {1};
        settings.domain = domain_id {1};
        settings.peerAddress = {loopback, 9};
        settings.peerKey = "key of the benchmark";
        m_instance = std::make_unique<instance>(
            settings, instance_environment {m_clock, m_random, *this, *this, *this, m_store});
        config_patch patch;
        patch.id = "bench";
        patch.author = "bench";
        patch.reason = "benchmark";
        patch_operation create;
        create.kind = patch_operation_kind::CreateService;
        create.service = "desk";
        create.newService.name = "desk";
        create.newService.address = service;
        create.newService.protocol = service_protocol::Udp;
        for (int index = 1; index <= static_cast<int>(upstreamCount); ++index) {
            upstream_config upstream;
            upstream.name = "u" + std::to_string(index);
            upstream.domain = domain_id {1};
            upstream.address = upstreamAddress(static_cast<std::uint32_t>(index));
            create.newService.upstreams.push_back(upstream);
        }
        patch.operations.push_back(create);
        m_instance->submit(patch, [](const patch_outcome &) {});
        while (m_instance->board().config->version == 0) {
            m_instance->tick();
            m_context.poll();
        }
    }

    bool m_isBare;
    asio::io_context m_context;
    system_clock_source m_clock;
    system_random_source m_random;
    accepting_store m_store {m_context};
    asio::ip::udp::socket m_generator;
    asio::ip::udp::socket m_target;
    udp_socket m_data;
    std::unique_ptr<instance> m_instance;
    std::vector<std::vector<std::byte>> m_packets;
    std::size_t m_next = 0;
    std::size_t m_received = 0;
};

void forwardingBench(benchmark::State &state, bool isBare)
{
    rig device(isBare);
    for (std::size_t warmup = 0; warmup < flowCount / batch; ++warmup)
        device.forwardBatch();
    for (auto unused : state) {
        (void)unused;
        state.SetIterationTime(device.forwardBatch());
    }
}
BENCHMARK_CAPTURE(forwardingBench, bare, true)->Name("forwarding/bare_loop")->UseManualTime();
BENCHMARK_CAPTURE(forwardingBench, instance, false)->Name("forwarding/instance")->UseManualTime();

} // namespace
