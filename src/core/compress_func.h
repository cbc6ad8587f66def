/**
 * @file compress_func.h
 * Compression of what instances store and send to each other.
 */

#pragma once

#include "core_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace chicoryhead {

/** Compresses bytes, unless they are so few that it would not pay. */
std::vector<std::byte> compressBytes(std::span<const std::byte> bytes);

/**
 * Restores what compressBytes() made.
 * @param maxBytes bound of the result, so that a small input can't fill the memory.
 * @return error::Malformed when the input is damaged or its result is above the bound.
 */
result<std::vector<std::byte>> decompressBytes(std::span<const std::byte> bytes,
                                               std::size_t maxBytes);

} // namespace chicoryhead
