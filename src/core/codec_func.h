/**
 * @file codec_func.h
 * Helpers for cereal's portable binary archives.
 *
 * cereal resizes a container to the element count given in the input, so malicious input could
 * make it allocate gigabytes. These helpers check the count against a bound first.
 */

#pragma once

#include "core_error.h"
#include "core_type.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <span>
#include <sstream>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

namespace chicoryhead {

/** Writes a container with a 16-bit element count; leaves out the elements beyond. */
template<typename Archive, typename Container>
void saveBounded(Archive &archive, const Container &items)
{
    const auto count = static_cast<std::uint16_t>(std::min<std::size_t>(items.size(), UINT16_MAX));
    archive(count);
    std::uint16_t saved = 0;
    for (const auto &item : items) {
        if (saved++ == count)
            break;
        archive(item);
    }
}

/**
 * Reads a container with a 16-bit element count.
 * @throw std::length_error if the count exceeds the bound; decodeBinary() converts it to an error
 * code.
 */
template<typename Archive, typename Container>
void loadBounded(Archive &archive, Container &items, std::size_t bound)
{
    std::uint16_t count = 0;
    archive(count);
    if (count > bound)
        throw std::length_error("count above bound");
    items.resize(count);
    for (auto &item : items)
        archive(item);
}

/** Writes the bytes of a string or vector as one block, with a 16-bit length; cuts longer ones. */
template<typename Archive, typename Bytes>
void saveBytes(Archive &archive, const Bytes &bytes)
{
    static_assert(sizeof(typename Bytes::value_type) == 1);
    const auto count = static_cast<std::uint16_t>(std::min<std::size_t>(bytes.size(), UINT16_MAX));
    archive(count);
    archive(cereal::binary_data(bytes.data(), count));
}

/**
 * Reads bytes written by saveBytes().
 * @throw std::length_error if the length exceeds the bound.
 */
template<typename Archive, typename Bytes>
void loadBytes(Archive &archive, Bytes &bytes, std::size_t bound)
{
    static_assert(sizeof(typename Bytes::value_type) == 1);
    std::uint16_t count = 0;
    archive(count);
    if (count > bound)
        throw std::length_error("count above bound");
    bytes.resize(count);
    archive(cereal::binary_data(bytes.data(), bytes.size()));
}

/** Encodes a value whose type has a cereal serialize function, preceded by its format version. */
template<typename Value>
std::vector<std::byte> encodeBinary(std::uint8_t format, const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(format, value);
    }
    const std::string text = stream.str();
    const auto bytes = std::as_bytes(std::span(text));
    return {bytes.begin(), bytes.end()};
}

/**
 * Encodes a value followed by extensions that later releases added, in the order in which they were
 * added. Releases without them read the value and ignore the rest, so both can run side by side.
 * Extensions after an empty one are left out.
 */
template<typename Value, typename... Extensions>
std::vector<std::byte> encodeExtended(std::uint8_t format, const Value &value,
                                      const std::optional<Extensions> &...extensions)
{
    auto encoded = encodeBinary(format, value);
    [[maybe_unused]] const auto append = [&](const auto &extension) {
        if (!extension)
            return false;
        const auto added = encodeBinary(format, *extension);
        encoded.insert(encoded.end(), added.begin(), added.end());
        return true;
    };
    static_cast<void>((append(extensions) && ...));
    return encoded;
}

namespace detail {

/// Reads a value from a stream; returns an empty code, or error::Unsupported or error::Malformed.
template<typename Value>
std::error_code readBinary(std::istream &stream, std::uint8_t format, Value &value)
{
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        std::uint8_t actualFormat = 0;
        archive(actualFormat);
        if (actualFormat != format)
            return error::Unsupported;
        archive(value);
    } catch (const std::exception &) {
        return error::Malformed;
    }
    return {};
}

inline std::istringstream openStream(std::span<const std::byte> bytes)
{
    return std::istringstream(
        std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

} // namespace detail

/**
 * Decodes a value written by encodeBinary().
 * @return the value; error::Unsupported for another format version, error::Malformed for any other
 * error.
 */
template<typename Value>
result<Value> decodeBinary(std::uint8_t format, std::span<const std::byte> bytes)
{
    Value value {};
    auto stream = detail::openStream(bytes);
    if (const auto failure = detail::readBinary(stream, format, value))
        return failure;
    return value;
}

/**
 * Decodes the output of encodeExtended(); fails as decodeBinary() does.
 * @param extensions those that the sender's release did not add stay empty.
 */
template<typename Value, typename... Extensions>
result<Value> decodeExtended(std::uint8_t format, std::span<const std::byte> bytes,
                             std::optional<Extensions> &...extensions)
{
    Value value {};
    auto stream = detail::openStream(bytes);
    std::error_code failure = detail::readBinary(stream, format, value);
    [[maybe_unused]] const auto read = [&](auto &extension) {
        const bool isPresent = !failure && stream.peek() != std::istringstream::traits_type::eof();
        if (isPresent)
            failure = detail::readBinary(stream, format, extension.emplace());
        return isPresent;
    };
    static_cast<void>((read(extensions) && ...));
    if (failure)
        return failure;
    return value;
}

} // namespace chicoryhead
