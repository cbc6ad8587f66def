/**
 * @file compress_func.h
 * Compression of data that instances store and send to each other.
 */

#pragma once

#include "core_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace chicoryhead {

/** Compresses bytes, unless the input is too short to benefit. */
std::vector<std::byte> compressBytes(std::span<const std::byte> bytes);

/**
 * Decompresses the output of compressBytes().
 * @param maxBytes maximum size of the result, so that a small input can't exhaust memory.
 * @return the bytes; error::Malformed if the input is corrupt or the result would exceed maxBytes.
 */
result<std::vector<std::byte>> decompressBytes(std::span<const std::byte> bytes,
                                               std::size_t maxBytes);

} // namespace chicoryhead
