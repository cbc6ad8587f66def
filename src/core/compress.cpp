/**
 * @file compress.cpp
 * zlib with a head that says whether and to what size bytes are compressed.
 */

#include "compress_func.h"

#include "core_error.h"

#include <zlib.h>

#include <cstdint>

namespace chicoryhead {

namespace {

/// A difference of a few upstreams hardly shrinks.
constexpr std::size_t minCompressedBytes = 512;
/// Fastest level; the next ones take twice the time for 6% less.
constexpr int level = 1;
/// Size of the original as four bytes, lowest first; 0 for bytes that are not compressed.
constexpr std::size_t headBytes = 4;

std::uint32_t decodeSize(std::span<const std::byte> head)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < headBytes; ++i)
        size |= static_cast<std::uint32_t>(head[i]) << (8 * i);
    return size;
}

std::vector<std::byte> withHead(std::uint32_t size, std::span<const std::byte> bytes)
{
    std::vector<std::byte> made;
    made.reserve(headBytes + bytes.size());
    for (std::size_t i = 0; i < headBytes; ++i)
        made.push_back(static_cast<std::byte>(size >> (8 * i)));
    made.insert(made.end(), bytes.begin(), bytes.end());
    return made;
}

} // namespace

std::vector<std::byte> compressBytes(std::span<const std::byte> bytes)
{
    if (bytes.size() < minCompressedBytes)
        return withHead(0, bytes);
    std::vector<std::byte> packed(compressBound(bytes.size()));
    uLongf size = packed.size();
    const int status =
        compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), level);
    if (status != Z_OK)
        return withHead(0, bytes);
    return withHead(static_cast<std::uint32_t>(bytes.size()), std::span(packed).first(size));
}

result<std::vector<std::byte>> decompressBytes(std::span<const std::byte> bytes,
                                               std::size_t maxBytes)
{
    if (bytes.size() < headBytes)
        return error::Malformed;
    const std::size_t size = decodeSize(bytes);
    const auto body = bytes.subspan(headBytes);
    if (size == 0)
        return std::vector<std::byte>(body.begin(), body.end());
    if (size > maxBytes)
        return error::Malformed;
    std::vector<std::byte> restored(size);
    uLongf restoredSize = size;
    const int status = uncompress(reinterpret_cast<Bytef *>(restored.data()), &restoredSize,
                                  reinterpret_cast<const Bytef *>(body.data()), body.size());
    if (status != Z_OK || restoredSize != size)
        return error::Malformed;
    return restored;
}

} // namespace chicoryhead
