/**
 * @file test_packet.cpp
 * Parsing and building of packets and request frames.
 */

#include "core/core_error.h"
#include "packet/packet_func.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;

namespace {

constexpr endpoint caller {0x0a000001, 40000};
constexpr endpoint service {0x0a0a0001, 443};

std::vector<std::byte> bytesOf(std::string_view text)
{
    const auto bytes = std::as_bytes(std::span(text));
    return {bytes.begin(), bytes.end()};
}

request_frame sampleFrame()
{
    request_frame frame;
    frame.requestId = 42;
    frame.partCount = 2;
    frame.part = 1;
    frame.remainingMs = 900;
    frame.payload = {1, 2, 3};
    return frame;
}

} // namespace

TEST_CASE("a built UDP packet parses to the same addresses and payload", "[packet]")
{
    const auto payload = bytesOf("hello");
    const auto packet = buildUdpPacket(caller, service, payload);
    const auto view = parsePacket(packet);
    REQUIRE(view);
    CHECK(view.value().source == caller);
    CHECK(view.value().destination == service);
    CHECK(view.value().protocol == transport::Udp);
    CHECK(std::equal(payload.begin(), payload.end(), view.value().payload.begin(),
                     view.value().payload.end()));
}

TEST_CASE("every truncation of a packet is refused, so that no read passes its end", "[packet]")
{
    const auto packet = buildUdpPacket(caller, service, bytesOf("hello"));
    for (std::size_t length = 0; length < packet.size(); ++length)
        CHECK_FALSE(parsePacket(std::span(packet).first(length)));
}

TEST_CASE("fragments are refused, because later ones carry no ports", "[packet]")
{
    auto packet = buildUdpPacket(caller, service, bytesOf("hello"));
    packet[6] = std::byte {0x20};
    CHECK(parsePacket(packet).error() == error::Unsupported);
}

TEST_CASE("a reset for a SYN acknowledges it, so that the caller accepts the reset", "[packet]")
{
    packet_view syn;
    syn.source = caller;
    syn.destination = service;
    syn.kind = packet_kind::Open;
    syn.sequence = 1000;
    const auto bytes = buildResetFor(syn);
    const auto reset = parsePacket(bytes);
    REQUIRE(reset);
    CHECK(reset.value().kind == packet_kind::Reset);
    CHECK(reset.value().destination == caller);
    CHECK(reset.value().acknowledgement == 1001);
}

TEST_CASE("a frame survives encoding", "[packet]")
{
    const auto decoded = decodeFrame(encodeFrame(sampleFrame()));
    REQUIRE(decoded);
    CHECK(decoded.value().requestId == 42);
    CHECK(decoded.value().part == 1);
    CHECK(decoded.value().payload == std::vector<std::uint8_t> {1, 2, 3});
}

TEST_CASE("a frame with a part number outside its count is refused", "[packet]")
{
    auto frame = sampleFrame();
    frame.part = 2;
    CHECK(decodeFrame(encodeFrame(frame)).error() == error::Malformed);
}

TEST_CASE("damaged frames and packets never crash the parsers", "[packet][fuzz]")
{
    std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): fixed seed
    const auto frame = encodeFrame(sampleFrame());
    const auto packet = buildUdpPacket(caller, service, frame);
    std::size_t refused = 0;
    constexpr int rounds = 100'000;
    for (int round = 0; round < rounds; ++round) {
        auto damaged = packet;
        const auto flips = 1 + random() % 4;
        for (unsigned flip = 0; flip < flips; ++flip)
            damaged[random() % damaged.size()] = static_cast<std::byte>(random());
        damaged.resize(random() % (damaged.size() + 1));
        const auto view = parsePacket(damaged);
        if (!view || !decodeFrame(view.value().payload))
            ++refused;
    }
    CHECK(refused > rounds / 2);
}
