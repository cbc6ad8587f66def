/**
 * @file caller_packet_type.h
 * Header fields of a caller's packet that the data path uses.
 */

#pragma once

#include "core/core_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chicoryhead {

/**
 * Identifies the upstream of a flow in each of the flow's packets. Both endpoints echo the last
 * value that they received. 0 means "none".
 */
using steering_tag = std::uint32_t;

/** Steering tag of a packet whose flow has no upstream yet. */
inline constexpr steering_tag noTag = 0;

/** Size in bytes of an opening packet: a header without payload. */
inline constexpr std::size_t openingPacketBytes = 36;

/** Bytes of an opening packet as its caller sent it. */
using opening_bytes = std::array<std::byte, openingPacketBytes>;

/** Parsed header of a packet from a caller. */
struct caller_packet
{
    flow_key flow;
    bool isOpening = false;         ///< first packet of a flow, or a retransmission of it
    bool isClosing = false;         ///< last packet from the caller
    bool isReset = false;           ///< the caller aborts the flow
    bool isFromUpstream = false;    ///< has the flags of a reply from an upstream; never forwarded
    std::uint32_t sequence = 0;     ///< sequence number of the first data byte, or the initial one
    std::uint32_t acknowledged = 0; ///< in an opening packet: number of earlier transmissions
    steering_tag tag = noTag;
    std::uint16_t dataBytes = 0;
};

} // namespace chicoryhead
