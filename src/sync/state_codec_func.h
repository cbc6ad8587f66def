/**
 * @file state_codec_func.h
 * Encoding of the state of an instance.
 */

#pragma once

#include "core/core_error.h"
#include "state_snapshot_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace chicoryhead {

/** Encodes the state of an instance, or what changed in it. */
std::vector<std::byte> encodeState(const state_snapshot &state);

/** Decodes what encodeState() made; error::Malformed or error::Unsupported. */
result<state_snapshot> decodeState(std::span<const std::byte> bytes);

} // namespace chicoryhead
