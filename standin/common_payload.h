/**
 * @file common_payload.h
 * Messages that callers and upstreams of the stand-ins exchange, and the check of answers.
 *
 * A message is a header (length, id, wanted answer size, checksum) and a payload. The payload of an
 * answer is a function of the request's checksum, so an answer to another request, a part of an
 * answer and a changed byte are all found.
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace standin {

using byte_string = std::vector<std::uint8_t>;

/** A request or an answer. */
struct message
{
    std::uint64_t id = 0;
    std::uint32_t answerSize = 0; ///< payload bytes wanted in the answer; 0 in an answer
    byte_string payload;
};

/** Result of checking an answer. */
enum class answer_verdict { Good, Incomplete, WrongRequest, Damaged };

/** Name of a verdict for reports. */
std::string_view toString(answer_verdict verdict);

/** Payload of a given size that depends on a seed in every byte. */
byte_string makePayload(std::uint64_t seed, std::size_t size);

/** Encodes a message with its length and checksum. */
byte_string encodeMessage(const message &value);

/** The answer that an upstream owes to a request. */
message makeAnswer(const message &request);

/** Compares the encoded answer with the one that the request is owed, byte by byte. */
answer_verdict checkAnswer(const message &request, std::span<const std::uint8_t> answer);

/** Cuts a byte stream into messages. */
class message_reader
{
public:
    /** Appends received bytes. */
    void append(std::span<const std::uint8_t> bytes);

    /** The next whole encoded message; nothing while one is incomplete or after damage. */
    std::optional<byte_string> next();

    /** Whether the stream announced an impossible length; it can't be read any further. */
    bool isDamaged() const { return m_isDamaged; }

private:
    byte_string m_buffer;
    bool m_isDamaged = false;
};

/** Decodes one whole encoded message; nothing if its length or checksum doesn't match. */
std::optional<message> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace standin
