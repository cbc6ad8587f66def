/**
 * @file packet_func.h
 * Parsing and building of IPv4 packets and request frames.
 */

#pragma once

#include "core/core_type.h"
#include "packet_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace chicoryhead {

/**
 * Parses an IPv4 packet with TCP or UDP.
 * @return a view into bytes; error::Truncated, error::Malformed, or error::Unsupported for
 * fragments, other IP versions and other protocols.
 */
result<packet_view> parsePacket(std::span<const std::byte> bytes);

/** Builds an IPv4/UDP packet with checksums. */
std::vector<std::byte> buildUdpPacket(const endpoint &source, const endpoint &destination,
                                      std::span<const std::byte> payload);

/** Builds a TCP RST that answers a packet, as a host without a listener would (RFC 9293). */
std::vector<std::byte> buildResetFor(const packet_view &packet);

/** Encodes a request frame. */
std::vector<std::byte> encodeFrame(const request_frame &frame);

/**
 * Decodes a request frame.
 * @return the frame; error::Truncated, error::Malformed or error::Unsupported.
 */
result<request_frame> decodeFrame(std::span<const std::byte> bytes);

} // namespace chicoryhead
