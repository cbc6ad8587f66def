/**
 * @file packet_type.h
 * Views of IP packets and the request frame that a UDP datagram can carry.
 */

#pragma once

#include "core/core_type.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** What a packet means for the life of its flow. */
enum class packet_kind : std::uint8_t {
    Open,      ///< TCP SYN without ACK
    OpenReply, ///< TCP SYN with ACK
    Data,      ///< anything else, including bare ACK and UDP
    Close,     ///< TCP FIN
    Reset,     ///< TCP RST
};

/** Name of a packet kind for logs and metrics. */
std::string_view toString(packet_kind kind);

/** A parsed IPv4 packet; refers to the caller's bytes. */
struct packet_view
{
    endpoint source;
    endpoint destination;
    transport protocol = transport::Tcp;
    packet_kind kind = packet_kind::Data;
    std::uint32_t sequence = 0;         ///< TCP sequence number; 0 for UDP
    std::uint32_t acknowledgement = 0;  ///< TCP acknowledgement number; 0 for UDP
    std::span<const std::byte> payload; ///< transport payload, within bytes
    std::span<const std::byte> bytes;   ///< the whole IP packet
};

/** Flow key of a packet from a caller. */
inline flow_key forwardKey(const packet_view &packet)
{
    return {packet.source, packet.destination, packet.protocol};
}

/** Flow key of a packet from an upstream. */
inline flow_key replyKey(const packet_view &packet)
{
    return {packet.destination, packet.source, packet.protocol};
}

/** Role of a request frame. */
enum class frame_kind : std::uint8_t {
    Request = 1,
    Answer,
    Cancel,
    Outcome,
    Open,  ///< first frame of a flow; counts as SYN
    Close, ///< last frame of a flow; counts as FIN
};

/** What is known about a request. */
enum class request_outcome : std::uint8_t {
    None = 0, ///< no outcome yet
    Answered, ///< answered whole
    Refused,  ///< not run; retryAfter says when to come back
    Unknown,  ///< may have run
};

/** Name of an outcome for logs and metrics. */
std::string_view toString(request_outcome outcome);

/** One datagram of a request service. */
struct request_frame
{
    frame_kind kind = frame_kind::Request;
    std::uint64_t requestId = 0; ///< unique per caller address and port
    std::uint16_t part = 0;      ///< number of this part, from 0
    std::uint16_t partCount = 1; ///< number of parts, at least 1
    std::uint8_t attempt = 0;    ///< 0 for the first attempt
    bool idempotent = false;
    std::uint32_t remainingMs = 0; ///< time left until the deadline, in milliseconds
    request_outcome outcome = request_outcome::None;
    std::uint32_t retryAfterMs = 0; ///< time to wait before the next attempt, in milliseconds
    std::vector<std::uint8_t> payload;
};

} // namespace chicoryhead
