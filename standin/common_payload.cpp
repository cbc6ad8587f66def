/**
 * @file common_payload.cpp
 * Encoding and checking of the stand-ins' messages.
 */

#include "common_payload.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace standin {

namespace {

/** Header in host byte order: both ends run on one machine. */
struct message_header
{
    std::uint32_t length = 0; ///< bytes of header and payload
    std::uint32_t answerSize = 0;
    std::uint64_t id = 0;
    std::uint64_t checksum = 0; ///< XXH3 over the payload, seeded with id and answer size
};

constexpr std::size_t maxMessageBytes = 4U << 20U;

std::uint64_t checksumOf(const message &value)
{
    return XXH3_64bits_withSeed(value.payload.data(), value.payload.size(),
                                value.id ^ (std::uint64_t {value.answerSize} << 32U));
}

} // namespace

std::string_view toString(answer_verdict verdict)
{
    static constexpr std::array<std::string_view, 4> names {"good", "incomplete", "wrong_request",
                                                            "damaged"};
    return names.at(static_cast<std::size_t>(verdict));
}

byte_string makePayload(std::uint64_t seed, std::size_t size)
{
    byte_string bytes(size);
    for (std::size_t offset = 0; offset < size; offset += sizeof(std::uint64_t)) {
        const std::uint64_t word = XXH3_64bits_withSeed(&offset, sizeof(offset), seed);
        std::memcpy(bytes.data() + offset, &word, std::min(sizeof(word), size - offset));
    }
    return bytes;
}

byte_string encodeMessage(const message &value)
{
    const message_header header {
        static_cast<std::uint32_t>(sizeof(message_header) + value.payload.size()), value.answerSize,
        value.id, checksumOf(value)};
    byte_string bytes(header.length);
    std::memcpy(bytes.data(), &header, sizeof(header));
    std::copy(value.payload.begin(), value.payload.end(), bytes.begin() + sizeof(header));
    return bytes;
}

message makeAnswer(const message &request)
{
    return {request.id, 0, makePayload(checksumOf(request), request.answerSize)};
}

answer_verdict checkAnswer(const message &request, std::span<const std::uint8_t> answer)
{
    const byte_string expected = encodeMessage(makeAnswer(request));
    if (std::equal(expected.begin(), expected.end(), answer.begin(), answer.end()))
        return answer_verdict::Good;
    message_header header;
    if (answer.size() < sizeof(header))
        return answer_verdict::Incomplete;
    std::memcpy(&header, answer.data(), sizeof(header));
    if (header.id != request.id)
        return answer_verdict::WrongRequest;
    return answer.size() < expected.size() ? answer_verdict::Incomplete : answer_verdict::Damaged;
}

void message_reader::append(std::span<const std::uint8_t> bytes)
{
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<byte_string> message_reader::next()
{
    message_header header;
    if (m_isDamaged || m_buffer.size() < sizeof(header))
        return std::nullopt;
    std::memcpy(&header, m_buffer.data(), sizeof(header));
    if (header.length < sizeof(header) || header.length > maxMessageBytes) {
        m_isDamaged = true;
        return std::nullopt;
    }
    if (m_buffer.size() < header.length)
        return std::nullopt;
    const auto end = m_buffer.begin() + header.length;
    byte_string bytes(m_buffer.begin(), end);
    m_buffer.erase(m_buffer.begin(), end);
    return bytes;
}

std::optional<message> decodeMessage(std::span<const std::uint8_t> bytes)
{
    message_header header;
    if (bytes.size() < sizeof(header))
        return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof(header));
    message value {header.id, header.answerSize, {bytes.begin() + sizeof(header), bytes.end()}};
    if (header.length != bytes.size() || header.checksum != checksumOf(value))
        return std::nullopt;
    return value;
}

} // namespace standin
