/**
 * @file gossip_codec_func.h
 * Encoding and decoding of gossip messages with cereal.
 */

#pragma once

#include "core/core_error.h"
#include "gossip_type.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace chicoryhead {

/** Any gossip message. */
using gossip_message = std::variant<gossip_digest, gossip_state_request, gossip_state_fragment,
                                    gossip_liveness_reports>;

/** Payload of a fragment; small enough that no link fragments the datagram. */
inline constexpr std::size_t maxFragmentBytes = 1200;

std::vector<std::byte> encodeGossip(const gossip_digest &message);
std::vector<std::byte> encodeGossip(const gossip_state_request &message);
std::vector<std::byte> encodeGossip(const gossip_state_fragment &message);
std::vector<std::byte> encodeGossip(const gossip_liveness_reports &message);

/** Decodes a datagram; fails with error::Malformed or error::Unsupported. */
result<gossip_message> decodeGossip(std::span<const std::byte> datagram);

} // namespace chicoryhead
