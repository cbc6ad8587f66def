/**
 * @file peer_codec.cpp
 * Encoding of messages between instances.
 *
 * Layout: kind byte, format byte and body, then the tag over all of them. Only the parts of a
 * message that are present are encoded, because most messages are bare pings.
 */

#include "core/codec_func.h"
#include "peer_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::uint8_t messageFormat = 1;
constexpr std::size_t relayHeaderBytes = 12;
constexpr std::byte admittedFlag {0x80}; ///< in the direction byte of a relay
constexpr std::size_t maxItems = 128;

using tag_bytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

constexpr std::uint8_t hasProbe = 0x01;
constexpr std::uint8_t hasUpdates = 0x02;
constexpr std::uint8_t hasVersions = 0x04;
constexpr std::uint8_t hasNotices = 0x08;
constexpr std::uint8_t hasHandover = 0x10;
constexpr std::uint8_t hasAcks = 0x20;
constexpr std::uint8_t hasPayloads = 0x40;

std::uint8_t presentParts(const peer_message &message)
{
    std::uint8_t parts = 0;
    parts |= message.probe ? hasProbe : 0;
    parts |= message.updates.empty() ? 0 : hasUpdates;
    parts |= message.versions.empty() ? 0 : hasVersions;
    parts |= message.notices.empty() ? 0 : hasNotices;
    parts |= message.handover.sequence == 0 ? 0 : hasHandover;
    parts |= message.handoverAcks.empty() ? 0 : hasAcks;
    parts |= message.payloads.empty() ? 0 : hasPayloads;
    return parts;
}

bool isValid(const peer_message &message)
{
    const auto validState = [](const member_update &update) {
        return update.state <= member_state::Dead && update.id != noInstance;
    };
    if (!validState(message.sender))
        return false;
    const auto validReason = [](const upstream_notice &notice) {
        return notice.reason <= condition_reason::Cold;
    };
    return std::all_of(message.updates.begin(), message.updates.end(), validState)
        && std::all_of(message.notices.begin(), message.notices.end(), validReason);
}

} // namespace

template<typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
}

template<typename Archive>
void serialize(Archive &archive, peer_probe &probe)
{
    archive(probe.kind, probe.sequence, probe.target);
}

template<typename Archive>
void serialize(Archive &archive, member_update &update)
{
    archive(update.id, update.address, update.domain, update.incarnation, update.state);
}

template<typename Archive>
void serialize(Archive &archive, version_report &report)
{
    archive(report.id, report.version);
}

template<typename Archive>
void save(Archive &archive, const upstream_notice &notice)
{
    archive(notice.upstream, static_cast<std::uint8_t>(notice.isDeflected), notice.incarnation,
            notice.reason);
}

template<typename Archive>
void load(Archive &archive, upstream_notice &notice)
{
    std::uint8_t isDeflected = 0;
    archive(notice.upstream, isDeflected, notice.incarnation, notice.reason);
    notice.isDeflected = isDeflected != 0;
}

template<typename Archive>
void serialize(Archive &archive, flow_record &record)
{
    archive(record.hash, record.upstream);
}

template<typename Archive>
void save(Archive &archive, const peer_payload &payload)
{
    archive(payload.kind);
    saveBytes(archive, payload.bytes);
}

template<typename Archive>
void load(Archive &archive, peer_payload &payload)
{
    archive(payload.kind);
    loadBytes(archive, payload.bytes, maxPeerMessageBytes);
}

template<typename Archive>
void save(Archive &archive, const peer_message &message)
{
    const std::uint8_t parts = presentParts(message);
    archive(message.sender, message.version, parts);
    if (parts & hasProbe)
        archive(*message.probe);
    if (parts & hasUpdates)
        saveBounded(archive, message.updates);
    if (parts & hasVersions)
        saveBounded(archive, message.versions);
    if (parts & hasNotices)
        saveBounded(archive, message.notices);
    if (parts & hasHandover) {
        archive(message.handover.sequence);
        saveBounded(archive, message.handover.records);
    }
    if (parts & hasAcks)
        saveBounded(archive, message.handoverAcks);
    if (parts & hasPayloads)
        saveBounded(archive, message.payloads);
}

template<typename Archive>
void load(Archive &archive, peer_message &message)
{
    std::uint8_t parts = 0;
    archive(message.sender, message.version, parts);
    if (parts & hasProbe)
        archive(message.probe.emplace());
    if (parts & hasUpdates)
        loadBounded(archive, message.updates, maxItems);
    if (parts & hasVersions)
        loadBounded(archive, message.versions, maxItems);
    if (parts & hasNotices)
        loadBounded(archive, message.notices, maxItems);
    if (parts & hasHandover) {
        archive(message.handover.sequence);
        loadBounded(archive, message.handover.records, maxItems);
    }
    if (parts & hasAcks)
        loadBounded(archive, message.handoverAcks, maxItems);
    if (parts & hasPayloads)
        loadBounded(archive, message.payloads, maxItems);
}

result<peer_datagram_kind> peerDatagramKind(std::span<const std::byte> datagram)
{
    if (datagram.empty())
        return error::Truncated;
    const auto kind = static_cast<peer_datagram_kind>(datagram[0]);
    if (kind != peer_datagram_kind::Message && kind != peer_datagram_kind::Relay)
        return error::Unsupported;
    return kind;
}

/** A keyed HMAC-SHA256 that is reset for each tag, which spares the key schedule. */
struct peer_codec::authenticator
{
    explicit authenticator(const std::string &key)
        : mac(EVP_MAC_fetch(nullptr, "HMAC", nullptr)), context(EVP_MAC_CTX_new(mac))
    {
        char digest[] = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters {
            OSSL_PARAM_construct_utf8_string("digest", digest, 0), OSSL_PARAM_construct_end()};
        const auto *bytes = reinterpret_cast<const unsigned char *>(key.data());
        const int isKeyed = EVP_MAC_init(context, bytes, key.size(), parameters.data());
        assert(isKeyed == 1);
        (void)isKeyed;
    }

    ~authenticator()
    {
        EVP_MAC_CTX_free(context);
        EVP_MAC_free(mac);
    }

    authenticator(const authenticator &) = delete;
    authenticator &operator=(const authenticator &) = delete;

    tag_bytes compute(std::span<const std::byte> bytes)
    {
        tag_bytes tag {};
        std::size_t length = 0;
        EVP_MAC_init(context, nullptr, 0, nullptr);
        EVP_MAC_update(context, reinterpret_cast<const unsigned char *>(bytes.data()),
                       bytes.size());
        EVP_MAC_final(context, tag.data(), &length, tag.size());
        return tag;
    }

    EVP_MAC *mac;
    EVP_MAC_CTX *context;
};

peer_codec::peer_codec(const std::string &key)
    : m_authenticator(std::make_unique<authenticator>(key))
{
}

peer_codec::~peer_codec() = default;

void peer_codec::appendTag(std::vector<std::byte> &datagram) const
{
    const auto tag = m_authenticator->compute(datagram);
    const auto bytes = std::as_bytes(std::span(tag)).first(peerTagBytes);
    datagram.insert(datagram.end(), bytes.begin(), bytes.end());
}

result<std::span<const std::byte>> peer_codec::verify(std::span<const std::byte> datagram) const
{
    if (datagram.size() <= peerTagBytes)
        return error::Truncated;
    const auto body = datagram.first(datagram.size() - peerTagBytes);
    const auto tag = m_authenticator->compute(body);
    // Comparison in constant time, so that answers don't reveal how much of a forged tag is right.
    if (CRYPTO_memcmp(tag.data(), datagram.data() + body.size(), peerTagBytes) != 0)
        return error::Unauthenticated;
    return body;
}

std::vector<std::byte> peer_codec::encode(const peer_message &message) const
{
    std::vector<std::byte> datagram {static_cast<std::byte>(peer_datagram_kind::Message)};
    const auto body = encodeBinary(messageFormat, message);
    datagram.insert(datagram.end(), body.begin(), body.end());
    appendTag(datagram);
    return datagram;
}

result<peer_message> peer_codec::decode(std::span<const std::byte> datagram) const
{
    const auto body = verify(datagram);
    if (!body)
        return body.error();
    auto message = decodeBinary<peer_message>(messageFormat, body.value().subspan(1));
    if (message && !isValid(message.value()))
        return error::Malformed;
    return message;
}

std::vector<std::byte> peer_codec::encodeRelay(instance_id sender, const relay_header &header,
                                               std::span<const std::byte> packet) const
{
    // A fixed layout instead of an archive: relays are data traffic.
    std::vector<std::byte> datagram(relayHeaderBytes);
    datagram[0] = static_cast<std::byte>(peer_datagram_kind::Relay);
    datagram[1] = std::byte {messageFormat};
    datagram[2] = static_cast<std::byte>(header.direction);
    if (header.isAdmitted)
        datagram[2] |= admittedFlag;
    datagram[3] = static_cast<std::byte>(header.hops);
    const std::uint32_t senderValue = idValue(sender);
    const std::uint32_t upstreamValue = idValue(header.upstream);
    for (std::size_t index = 0; index < 4; ++index) {
        datagram[4 + index] = static_cast<std::byte>(senderValue >> (8 * index) & 0xff);
        datagram[8 + index] = static_cast<std::byte>(upstreamValue >> (8 * index) & 0xff);
    }
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    appendTag(datagram);
    return datagram;
}

result<relay_message> peer_codec::decodeRelay(std::span<const std::byte> datagram) const
{
    const auto body = verify(datagram);
    if (!body)
        return body.error();
    const auto bytes = body.value();
    if (bytes.size() < relayHeaderBytes)
        return error::Truncated;
    if (std::to_integer<std::uint8_t>(bytes[1]) != messageFormat)
        return error::Unsupported;
    relay_message relay;
    relay.header.isAdmitted = (bytes[2] & admittedFlag) != std::byte {0};
    relay.header.direction = static_cast<relay_direction>(bytes[2] & ~admittedFlag);
    relay.header.hops = std::to_integer<std::uint8_t>(bytes[3]);
    if (relay.header.direction > relay_direction::ToCaller)
        return error::Malformed;
    std::uint32_t sender = 0;
    std::uint32_t upstream = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        sender |= std::to_integer<std::uint32_t>(bytes[4 + index]) << (8 * index);
        upstream |= std::to_integer<std::uint32_t>(bytes[8 + index]) << (8 * index);
    }
    relay.sender = instance_id {sender};
    relay.header.upstream = upstream_id {upstream};
    relay.packet = bytes.subspan(relayHeaderBytes);
    return relay;
}

} // namespace chicoryhead
