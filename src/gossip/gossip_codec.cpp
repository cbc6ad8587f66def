/**
 * @file gossip_codec.cpp
 * Serialization functions of the messages. Counts are bounded before anything is allocated.
 */

#include "gossip_codec_func.h"

#include "core/codec_func.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <stdexcept>

namespace chicoryhead {

namespace {

/// Raised when a message changes; instances of other formats then read the store themselves.
constexpr std::uint8_t gossipFormat = 2;

enum class message_kind : std::uint8_t { Digest = 1, Fetch = 2, Part = 3 };

constexpr std::size_t maxReaders = 8;
constexpr std::size_t maxTargets = 256;
constexpr std::size_t maxListed = 65535; ///< routes, upstreams and instances: the count has 16 bits
constexpr std::size_t maxNameBytes = 512;

void saveNames(cereal::PortableBinaryOutputArchive &archive, const std::vector<std::string> &names)
{
    archive(static_cast<std::uint16_t>(names.size()));
    for (const std::string &name : names)
        saveBytes(archive, name);
}

void loadNames(cereal::PortableBinaryInputArchive &archive, std::vector<std::string> &names)
{
    std::uint16_t count = 0;
    archive(count);
    for (std::uint16_t i = 0; i < count; ++i)
        loadBytes(archive, names.emplace_back(), maxNameBytes);
}

template<typename Archive>
void saveFlag(Archive &archive, bool flag)
{
    archive(static_cast<std::uint8_t>(flag ? 1 : 0));
}

/// A byte other than 0 and 1 in a bool is undefined behaviour, and damaged messages have them.
template<typename Archive>
void loadFlag(Archive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1)
        throw std::out_of_range("flag is neither 0 nor 1");
    flag = byte == 1;
}

template<typename Archive>
void saveTime(Archive &archive, monotonic_time time)
{
    archive(static_cast<std::int64_t>(time.count()));
}

template<typename Archive>
void loadTime(Archive &archive, monotonic_time &time)
{
    std::int64_t count = 0;
    archive(count);
    time = monotonic_time(count);
}

} // namespace

template<typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
}

template<typename Archive>
void serialize(Archive &archive, reader_report &value)
{
    archive(value.rank, value.ageMs);
}

template<typename Archive>
void serialize(Archive &archive, gossip_fetch &value)
{
    archive(value.version, value.revision);
}

template<typename Archive>
void save(Archive &archive, const instance_registration &value)
{
    saveBytes(archive, value.name);
    saveBytes(archive, value.domain);
    archive(value.peerAddress);
}

template<typename Archive>
void load(Archive &archive, instance_registration &value)
{
    loadBytes(archive, value.name, maxNameBytes);
    loadBytes(archive, value.domain, maxNameBytes);
    archive(value.peerAddress);
}

template<typename Archive>
void save(Archive &archive, const gossip_digest &value)
{
    archive(value.sender, value.revision, value.contentRevision, value.version, value.ageMs);
    saveBounded(archive, value.readers);
}

template<typename Archive>
void load(Archive &archive, gossip_digest &value)
{
    archive(value.sender, value.revision, value.contentRevision, value.version, value.ageMs);
    loadBounded(archive, value.readers, maxReaders);
}

template<typename Archive>
void save(Archive &archive, const gossip_part &value)
{
    archive(value.transfer, value.index, value.count);
    saveBytes(archive, value.bytes);
}

template<typename Archive>
void load(Archive &archive, gossip_part &value)
{
    archive(value.transfer, value.index, value.count);
    loadBytes(archive, value.bytes, maxPartBytes);
}

template<typename Archive>
void save(Archive &archive, const route_target &value)
{
    saveBytes(archive, value.service);
    archive(static_cast<std::uint32_t>(value.weight));
}

template<typename Archive>
void load(Archive &archive, route_target &value)
{
    loadBytes(archive, value.service, maxNameBytes);
    std::uint32_t weight = 0;
    archive(weight);
    value.weight = weight;
}

template<typename Archive>
void save(Archive &archive, const route &value)
{
    saveBytes(archive, value.name);
    archive(value.address);
    saveBounded(archive, value.targets);
    saveTime(archive, value.targetLatency);
    saveTime(archive, value.timeout);
    archive(static_cast<std::uint32_t>(value.priority));
    saveFlag(archive, value.isIdempotent);
}

template<typename Archive>
void load(Archive &archive, route &value)
{
    loadBytes(archive, value.name, maxNameBytes);
    archive(value.address);
    loadBounded(archive, value.targets, maxTargets);
    if (value.targets.empty())
        throw std::length_error("route without target");
    loadTime(archive, value.targetLatency);
    loadTime(archive, value.timeout);
    std::uint32_t priority = 0;
    archive(priority);
    loadFlag(archive, value.isIdempotent);
    value.priority = priority;
}

template<typename Archive>
void save(Archive &archive, const routing_config &value)
{
    archive(value.version);
    saveBounded(archive, value.routes);
    saveTime(archive, value.idleTimeout);
}

template<typename Archive>
void load(Archive &archive, routing_config &value)
{
    archive(value.version);
    loadBounded(archive, value.routes, maxListed);
    loadTime(archive, value.idleTimeout);
}

template<typename Archive>
void save(Archive &archive, const upstream_announcement &value)
{
    saveBytes(archive, value.name);
    archive(value.wireId);
    saveBytes(archive, value.service);
    archive(value.address);
    saveBytes(archive, value.domain);
    archive(static_cast<std::uint32_t>(value.slots));
    saveFlag(archive, value.isDraining);
    saveTime(archive, value.warmupLeft);
    archive(value.startedAtMs, value.announcements);
}

template<typename Archive>
void load(Archive &archive, upstream_announcement &value)
{
    loadBytes(archive, value.name, maxNameBytes);
    archive(value.wireId);
    loadBytes(archive, value.service, maxNameBytes);
    archive(value.address);
    loadBytes(archive, value.domain, maxNameBytes);
    std::uint32_t slots = 0;
    archive(slots);
    loadFlag(archive, value.isDraining);
    value.slots = slots;
    loadTime(archive, value.warmupLeft);
    archive(value.startedAtMs, value.announcements);
}

template<typename Archive>
void save(Archive &archive, const gossip_state &value)
{
    archive(value.since, value.revision, value.contentRevision, value.ageMs);
    saveFlag(archive, value.mayLapse);
    saveFlag(archive, value.hasConfig);
    if (value.hasConfig)
        archive(value.config);
    saveBounded(archive, value.upstreams);
    saveBounded(archive, value.instances);
    saveNames(archive, value.lostUpstreams);
    saveNames(archive, value.lostInstances);
}

template<typename Archive>
void load(Archive &archive, gossip_state &value)
{
    archive(value.since, value.revision, value.contentRevision, value.ageMs);
    loadFlag(archive, value.mayLapse);
    loadFlag(archive, value.hasConfig);
    if (value.hasConfig)
        archive(value.config);
    loadBounded(archive, value.upstreams, maxListed);
    loadBounded(archive, value.instances, maxListed);
    loadNames(archive, value.lostUpstreams);
    loadNames(archive, value.lostInstances);
}

namespace {

template<typename Message>
std::vector<std::byte> encodeAs(message_kind kind, const Message &message)
{
    auto encoded = encodeBinary(gossipFormat, message);
    encoded.insert(encoded.begin(), static_cast<std::byte>(kind));
    return encoded;
}

template<typename Message>
result<gossip_message> decodeAs(std::span<const std::byte> bytes)
{
    auto decoded = decodeBinary<Message>(gossipFormat, bytes);
    if (!decoded)
        return decoded.error();
    return gossip_message(std::move(decoded.value()));
}

} // namespace

std::vector<std::byte> encodeGossip(const gossip_digest &message)
{
    return encodeAs(message_kind::Digest, message);
}

std::vector<std::byte> encodeGossip(const gossip_fetch &message)
{
    return encodeAs(message_kind::Fetch, message);
}

std::vector<std::byte> encodeGossip(const gossip_part &message)
{
    return encodeAs(message_kind::Part, message);
}

result<gossip_message> decodeGossip(std::span<const std::byte> datagram)
{
    if (datagram.empty())
        return error::Malformed;
    switch (static_cast<message_kind>(datagram.front())) {
    case message_kind::Digest:
        return decodeAs<gossip_digest>(datagram.subspan(1));
    case message_kind::Fetch:
        return decodeAs<gossip_fetch>(datagram.subspan(1));
    case message_kind::Part:
        return decodeAs<gossip_part>(datagram.subspan(1));
    }
    return error::Malformed;
}

std::vector<std::byte> encodeState(const gossip_state &state)
{
    return encodeBinary(gossipFormat, state);
}

result<gossip_state> decodeState(std::span<const std::byte> bytes)
{
    return decodeBinary<gossip_state>(gossipFormat, bytes);
}

} // namespace chicoryhead
