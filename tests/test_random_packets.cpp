/**
 * @file test_random_packets.cpp
 * Random and corrupted packets through the decoder and the forwarder. Also run under the
 * sanitizers.
 */

#include "entry_support.h"
#include "forward/forwarder_base.h"
#include "platform/packet_codec.h"

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr int packetCount = 200'000;

/** Generates valid packets, and some with a few corrupted bytes or a wrong length. */
class packet_generator
{
public:
    explicit packet_generator(std::uint32_t seed) : m_random(seed) { }

    std::vector<std::byte> next(steering_tag someTag)
    {
        const std::size_t dataBytes = pick(4) == 0 ? pick(1201) : 0;
        std::vector<std::byte> packet(platform::packetHeaderBytes + dataBytes);
        constexpr std::array<unsigned char, 6> flags {32, 16, 24, 64, 48, 4};
        packet[0] = static_cast<std::byte>(flags[pick(flags.size())]);
        write(packet, 10, static_cast<std::uint32_t>(m_random()));
        write(packet, 14, static_cast<std::uint32_t>(pick(3)));
        const auto invented = pick(2) == 0 ? noTag : static_cast<std::uint32_t>(m_random());
        write(packet, 18, pick(3) == 0 ? invented : someTag);
        write(packet, 22, 0x64400000U + static_cast<std::uint32_t>(pick(8)));
        packet[26] = static_cast<std::byte>(pick(200));
        const endpoint service = pick(2) == 0 ? deskAddress : proofsAddress;
        write(packet, 28, pick(20) == 0 ? 7 : service.address);
        packet[32] = static_cast<std::byte>(service.port & 255U);
        packet[33] = static_cast<std::byte>(service.port >> 8U);
        packet[34] = static_cast<std::byte>(dataBytes & 255U);
        packet[35] = static_cast<std::byte>(dataBytes >> 8U);
        if (pick(3) == 0)
            damage(packet);
        return packet;
    }

    std::size_t pick(std::size_t count) { return m_random() % count; }

private:
    static void write(std::vector<std::byte> &packet, std::size_t offset, std::uint32_t value)
    {
        for (std::size_t i = 0; i < 4; ++i)
            packet[offset + i] = static_cast<std::byte>(value >> (8 * i));
    }

    void damage(std::vector<std::byte> &packet)
    {
        for (std::size_t changes = pick(4); changes > 0; --changes)
            packet[pick(packet.size())] = static_cast<std::byte>(m_random());
        if (pick(4) == 0)
            packet.resize(pick(packet.size() + 40));
    }

    std::mt19937 m_random;
};

} // namespace

TEST_CASE("Random packets never crash the data path or reach the wrong service", "[random]")
{
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement(directory, {"a", 2, 3});
    upstream_health health(directory, "f-1", "a");
    latency_exchange latencies(directory, placement);
    forwarder path(routes, directory, placement, health, latencies);
    routes.apply(makeConfig(1), 0s);
    for (int i = 0; i < 6; ++i)
        directory.announce(
            makeUpstream("i-" + std::to_string(i), i < 4 ? "desk" : "proofs", i % 2 ? "a" : "b"),
            0s);

    packet_generator generator(20261204);
    monotonic_time now = 1s;
    steering_tag lastTag = noTag;
    std::array<std::size_t, packetReasonCount> reasons {};
    for (int i = 0; i < packetCount; ++i) {
        now += 1ms;
        const auto bytes = generator.next(lastTag);
        const auto packet = platform::decodePacket(bytes);
        if (!packet) {
            ++reasons[static_cast<std::size_t>(packet_reason::Malformed)];
            continue;
        }
        const auto decision = path.decide(packet.value(), true, now);
        ++reasons[static_cast<std::size_t>(decision.reason)];
        REQUIRE((decision.action == packet_action::Forward) == (decision.upstream != nullptr));
        if (decision.upstream != nullptr) {
            // The tag of the forwarded packet maps to the same upstream, for this service only.
            REQUIRE(directory.findByTag(bindTag(decision.tag, packet.value().flow.service))
                    == decision.upstream);
            const bool isDesk = packet.value().flow.service == deskAddress;
            REQUIRE(decision.upstream->announced.service == (isDesk ? "desk" : "proofs"));
            lastTag = decision.tag;
        }
        if (i % 1000 == 0)
            path.expire(now);
    }
    for (const auto reason : {packet_reason::Steered, packet_reason::Placed, packet_reason::NoRoute,
                              packet_reason::NoTag, packet_reason::UnknownTag,
                              packet_reason::FromUpstream, packet_reason::Malformed})
        CHECK(reasons[static_cast<std::size_t>(reason)] > 100);
}
