/**
 * @file state_codec_func.h
 * Encoding and decoding of state snapshots.
 */

#pragma once

#include "core/core_error.h"
#include "state_snapshot_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace chicoryhead {

/** Encodes and compresses the state of an instance, or a delta of it. */
std::vector<std::byte> encodeState(const state_snapshot &state);

/** Decodes the output of encodeState(); fails with error::Malformed or error::Unsupported. */
result<state_snapshot> decodeState(std::span<const std::byte> bytes);

} // namespace chicoryhead
