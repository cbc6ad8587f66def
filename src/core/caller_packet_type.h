/**
 * @file caller_packet_type.h
 * What the data path reads from the head of a caller's packet.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>

namespace chicoryhead {

/**
 * Names the upstream of a flow inside each of the flow's packets; both ends give back the last
 * value that they received. 0 stands for "none".
 */
using steering_tag = std::uint32_t;

/** The steering tag of a packet whose flow has no upstream yet. */
inline constexpr steering_tag noTag = 0;

/** Head of a packet from a caller. */
struct caller_packet
{
    flow_key flow;
    bool isOpening = false;         ///< first packet of a flow, or a copy of it
    bool isClosing = false;         ///< last packet of the caller's direction
    bool isReset = false;           ///< the caller discards the flow
    bool isFromUpstream = false;    ///< has the flags of an upstream's answer; never forwarded
    std::uint32_t sequence = 0;     ///< position of the first byte of data, or the caller's start
    std::uint32_t acknowledged = 0; ///< in an opening packet: number of copies sent before
    steering_tag tag = noTag;
    std::uint16_t dataBytes = 0;
};

} // namespace chicoryhead
