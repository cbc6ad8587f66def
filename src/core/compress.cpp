/**
 * @file compress.cpp
 * zlib compression with a header that holds the uncompressed size.
 */

#include "compress_func.h"

#include "core_error.h"

#include <zlib.h>

#include <cstdint>

namespace chicoryhead {

namespace {

/// Shorter input, such as a change of a few upstreams, hardly compresses.
constexpr std::size_t minCompressedBytes = 512;
/// Fastest level; the next levels take twice the time for output that is 6% smaller.
constexpr int compressionLevel = 1;
/// Uncompressed size as four bytes, little-endian; 0 if the payload is not compressed.
constexpr std::size_t headerBytes = 4;

std::uint32_t decodeSize(std::span<const std::byte> header)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < headerBytes; ++i)
        size |= static_cast<std::uint32_t>(header[i]) << (8 * i);
    return size;
}

std::vector<std::byte> prependHeader(std::uint32_t size, std::span<const std::byte> bytes)
{
    std::vector<std::byte> framed;
    framed.reserve(headerBytes + bytes.size());
    for (std::size_t i = 0; i < headerBytes; ++i)
        framed.push_back(static_cast<std::byte>(size >> (8 * i)));
    framed.insert(framed.end(), bytes.begin(), bytes.end());
    return framed;
}

} // namespace

std::vector<std::byte> compressBytes(std::span<const std::byte> bytes)
{
    if (bytes.size() < minCompressedBytes)
        return prependHeader(0, bytes);
    std::vector<std::byte> compressed(compressBound(bytes.size()));
    uLongf size = compressed.size();
    const int status =
        compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), compressionLevel);
    if (status != Z_OK)
        return prependHeader(0, bytes);
    return prependHeader(static_cast<std::uint32_t>(bytes.size()),
                         std::span(compressed).first(size));
}

result<std::vector<std::byte>> decompressBytes(std::span<const std::byte> bytes,
                                               std::size_t maxBytes)
{
    if (bytes.size() < headerBytes)
        return error::Malformed;
    const std::size_t size = decodeSize(bytes);
    const auto body = bytes.subspan(headerBytes);
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
