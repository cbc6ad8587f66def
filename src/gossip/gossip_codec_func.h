/**
 * @file gossip_codec_func.h
 * Encoding of messages between instances with cereal.
 */

#pragma once

#include "core/core_error.h"
#include "gossip_type.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace chicoryhead {

/** Any message. */
using gossip_message = std::variant<gossip_digest, gossip_state_request, gossip_state_fragment,
                                    gossip_liveness_reports>;

/** Data bytes of a part, so that a datagram crosses any link in one piece. */
inline constexpr std::size_t maxFragmentBytes = 1200;

std::vector<std::byte> encodeGossip(const gossip_digest &message);
std::vector<std::byte> encodeGossip(const gossip_state_request &message);
std::vector<std::byte> encodeGossip(const gossip_state_fragment &message);
std::vector<std::byte> encodeGossip(const gossip_liveness_reports &message);

/** Decodes a datagram; error::Malformed or error::Unsupported. */
result<gossip_message> decodeGossip(std::span<const std::byte> datagram);

} // namespace chicoryhead
