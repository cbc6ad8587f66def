/**
 * @file packet.cpp
 * Parsing and building of IPv4 packets.
 */

#include "core/core_error.h"
#include "packet_func.h"

#include <array>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::size_t ipv4HeaderBytes = 20;
constexpr std::size_t udpHeaderBytes = 8;
constexpr std::size_t tcpHeaderBytes = 20;
constexpr std::uint8_t tcpFin = 0x01;
constexpr std::uint8_t tcpSyn = 0x02;
constexpr std::uint8_t tcpReset = 0x04;
constexpr std::uint8_t tcpAck = 0x10;
constexpr std::uint16_t moreFragments = 0x2000;
constexpr std::uint16_t fragmentOffsetMask = 0x1fff;
constexpr std::uint8_t defaultTtl = 64;

constexpr std::array<std::string_view, 5> kindNames {"open", "open_reply", "data", "close",
                                                     "reset"};
constexpr std::array<std::string_view, 4> outcomeNames {"none", "answered", "refused", "unknown"};

std::uint8_t read8(std::span<const std::byte> bytes, std::size_t at)
{
    return std::to_integer<std::uint8_t>(bytes[at]);
}

std::uint16_t read16(std::span<const std::byte> bytes, std::size_t at)
{
    return static_cast<std::uint16_t>(read8(bytes, at) << 8 | read8(bytes, at + 1));
}

std::uint32_t read32(std::span<const std::byte> bytes, std::size_t at)
{
    return static_cast<std::uint32_t>(read16(bytes, at)) << 16 | read16(bytes, at + 2);
}

void write16(std::span<std::byte> bytes, std::size_t at, std::uint16_t value)
{
    bytes[at] = static_cast<std::byte>(value >> 8);
    bytes[at + 1] = static_cast<std::byte>(value & 0xff);
}

void write32(std::span<std::byte> bytes, std::size_t at, std::uint32_t value)
{
    write16(bytes, at, static_cast<std::uint16_t>(value >> 16));
    write16(bytes, at + 2, static_cast<std::uint16_t>(value & 0xffff));
}

std::uint32_t sumWords(std::span<const std::byte> bytes, std::uint32_t sum)
{
    std::size_t at = 0;
    for (; at + 1 < bytes.size(); at += 2)
        sum += read16(bytes, at);
    if (at < bytes.size())
        sum += static_cast<std::uint32_t>(read8(bytes, at) << 8);
    return sum;
}

std::uint16_t foldChecksum(std::uint32_t sum)
{
    while (sum >> 16)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

packet_kind kindOfTcp(std::uint8_t flags)
{
    if (flags & tcpReset)
        return packet_kind::Reset;
    if (flags & tcpSyn)
        return flags & tcpAck ? packet_kind::OpenReply : packet_kind::Open;
    return flags & tcpFin ? packet_kind::Close : packet_kind::Data;
}

std::error_code parseTcp(std::span<const std::byte> segment, packet_view &view)
{
    if (segment.size() < tcpHeaderBytes)
        return error::Truncated;
    const std::size_t headerBytes = static_cast<std::size_t>(read8(segment, 12) >> 4) * 4;
    if (headerBytes < tcpHeaderBytes || headerBytes > segment.size())
        return error::Malformed;
    view.kind = kindOfTcp(read8(segment, 13));
    view.sequence = read32(segment, 4);
    view.acknowledgement = read32(segment, 8);
    view.payload = segment.subspan(headerBytes);
    return {};
}

std::error_code parseUdp(std::span<const std::byte> segment, packet_view &view)
{
    if (segment.size() < udpHeaderBytes)
        return error::Truncated;
    const std::size_t length = read16(segment, 4);
    if (length < udpHeaderBytes || length > segment.size())
        return error::Malformed;
    view.payload = segment.subspan(udpHeaderBytes, length - udpHeaderBytes);
    return {};
}

/** Fills the IPv4 header of a packet whose transport part is complete but for its checksum. */
void finishPacket(std::span<std::byte> packet, const endpoint &source, const endpoint &destination,
                  transport protocol, std::size_t checksumAt)
{
    write16(packet, 0, 0x4500);
    write16(packet, 2, static_cast<std::uint16_t>(packet.size()));
    packet[8] = std::byte {defaultTtl};
    packet[9] = static_cast<std::byte>(protocol);
    write32(packet, 12, source.address);
    write32(packet, 16, destination.address);
    write16(packet, 10, foldChecksum(sumWords(packet.first(ipv4HeaderBytes), 0)));

    const auto segment = packet.subspan(ipv4HeaderBytes);
    std::uint32_t sum = sumWords(packet.subspan(12, 8), 0);
    sum += static_cast<std::uint32_t>(protocol) + static_cast<std::uint32_t>(segment.size());
    write16(segment, checksumAt, foldChecksum(sumWords(segment, sum)));
}

} // namespace

std::string_view toString(packet_kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string_view toString(request_outcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

result<packet_view> parsePacket(std::span<const std::byte> bytes)
{
    if (bytes.size() < ipv4HeaderBytes)
        return error::Truncated;
    const std::uint8_t first = read8(bytes, 0);
    if (first >> 4 != 4)
        return error::Unsupported;
    const std::size_t headerBytes = static_cast<std::size_t>(first & 0x0f) * 4;
    const std::size_t totalBytes = read16(bytes, 2);
    if (headerBytes < ipv4HeaderBytes || totalBytes < headerBytes)
        return error::Malformed;
    if (totalBytes > bytes.size())
        return error::Truncated;
    if (read16(bytes, 6) & (moreFragments | fragmentOffsetMask))
        return error::Unsupported;

    packet_view view;
    view.bytes = bytes.first(totalBytes);
    const auto segment = view.bytes.subspan(headerBytes);
    view.protocol = static_cast<transport>(read8(bytes, 9));
    std::error_code code;
    if (view.protocol == transport::Tcp)
        code = parseTcp(segment, view);
    else if (view.protocol == transport::Udp)
        code = parseUdp(segment, view);
    else
        code = error::Unsupported;
    if (code)
        return code;
    view.source = {read32(bytes, 12), read16(segment, 0)};
    view.destination = {read32(bytes, 16), read16(segment, 2)};
    return view;
}

std::vector<std::byte> buildUdpPacket(const endpoint &source, const endpoint &destination,
                                      std::span<const std::byte> payload)
{
    std::vector<std::byte> packet(ipv4HeaderBytes + udpHeaderBytes + payload.size());
    const std::span<std::byte> segment = std::span(packet).subspan(ipv4HeaderBytes);
    write16(segment, 0, source.port);
    write16(segment, 2, destination.port);
    write16(segment, 4, static_cast<std::uint16_t>(segment.size()));
    std::copy(payload.begin(), payload.end(), segment.begin() + udpHeaderBytes);
    finishPacket(packet, source, destination, transport::Udp, 6);
    return packet;
}

std::vector<std::byte> buildResetFor(const packet_view &packet)
{
    std::vector<std::byte> reset(ipv4HeaderBytes + tcpHeaderBytes);
    const std::span<std::byte> segment = std::span(reset).subspan(ipv4HeaderBytes);
    const bool opens = packet.kind == packet_kind::Open;
    const auto consumed = static_cast<std::uint32_t>(packet.payload.size() + (opens ? 1 : 0));
    write16(segment, 0, packet.destination.port);
    write16(segment, 2, packet.source.port);
    // RFC 9293, 3.10.7.1: a segment without ACK is answered with sequence 0 and an ACK.
    write32(segment, 4, opens ? 0 : packet.acknowledgement);
    write32(segment, 8, opens ? packet.sequence + consumed : 0);
    segment[12] = std::byte {tcpHeaderBytes / 4 << 4};
    segment[13] = static_cast<std::byte>(opens ? tcpReset | tcpAck : tcpReset);
    finishPacket(reset, packet.destination, packet.source, transport::Tcp, 16);
    return reset;
}

} // namespace chicoryhead
