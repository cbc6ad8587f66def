/**
 * @file peer_func.h
 * Codec of peer messages and relays, with authentication by a shared key.
 */

#pragma once

#include "peer_type.h"

#include <memory>
#include <string>

namespace chicoryhead {

/** Bytes of the authentication tag, HMAC-SHA256 cut to 128 bits. */
inline constexpr std::size_t peerTagBytes = 16;

/** What a datagram between instances holds. */
enum class peer_datagram_kind : std::uint8_t { Message = 1, Relay = 2 };

/** Kind of a datagram by its first byte; error::Truncated or error::Unsupported. */
result<peer_datagram_kind> peerDatagramKind(std::span<const std::byte> datagram);

/** Signs and verifies datagrams between instances; used by one thread. */
class peer_codec
{
public:
    /** @param key shared key of all instances, from the settings. */
    explicit peer_codec(const std::string &key);
    ~peer_codec();

    /** Encodes and signs a message. */
    std::vector<std::byte> encode(const peer_message &message) const;

    /**
     * Verifies and decodes a message.
     * @return the message; error::Unauthenticated, error::Truncated, error::Malformed or
     * error::Unsupported.
     */
    result<peer_message> decode(std::span<const std::byte> datagram) const;

    /** Encodes and signs a relay. */
    std::vector<std::byte> encodeRelay(instance_id sender, const relay_header &header,
                                       std::span<const std::byte> packet) const;

    /** Verifies and decodes a relay; the errors are those of decode(). */
    result<relay_message> decodeRelay(std::span<const std::byte> datagram) const;

private:
    void appendTag(std::vector<std::byte> &datagram) const;
    result<std::span<const std::byte>> verify(std::span<const std::byte> datagram) const;

    struct authenticator;

    std::unique_ptr<authenticator> m_authenticator;
};

} // namespace chicoryhead
