/**
 * @file frame.cpp
 * Codec of request frames: cereal's portable binary format behind a version byte.
 */

#include "core/codec_func.h"
#include "packet_func.h"

namespace chicoryhead {

namespace {

constexpr std::uint8_t frameFormat = 1;
constexpr std::size_t maxFrameBytes = 2048;

bool isValid(const request_frame &frame)
{
    const bool validKind = frame.kind >= frame_kind::Request && frame.kind <= frame_kind::Close;
    const bool validOutcome = frame.outcome <= request_outcome::Unknown;
    return validKind && validOutcome && frame.part < frame.partCount;
}

template<typename Archive, typename Frame>
void serializeHeader(Archive &archive, Frame &frame, std::uint8_t &idempotent)
{
    archive(frame.kind, frame.requestId, frame.part, frame.partCount, frame.attempt, idempotent,
            frame.remainingMs, frame.outcome, frame.retryAfterMs);
}

} // namespace

template<typename Archive>
void save(Archive &archive, const request_frame &frame)
{
    std::uint8_t idempotent = frame.idempotent ? 1 : 0;
    serializeHeader(archive, frame, idempotent);
    saveBytes(archive, frame.payload);
}

template<typename Archive>
void load(Archive &archive, request_frame &frame)
{
    // Loading a bool from a byte other than 0 and 1 is undefined behaviour.
    std::uint8_t idempotent = 0;
    serializeHeader(archive, frame, idempotent);
    frame.idempotent = idempotent != 0;
    loadBytes(archive, frame.payload, maxFrameBytes);
}

std::vector<std::byte> encodeFrame(const request_frame &frame)
{
    return encodeBinary(frameFormat, frame);
}

result<request_frame> decodeFrame(std::span<const std::byte> bytes)
{
    auto frame = decodeBinary<request_frame>(frameFormat, bytes);
    if (frame && !isValid(frame.value()))
        return error::Malformed;
    return frame;
}

} // namespace chicoryhead
