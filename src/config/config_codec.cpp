/**
 * @file config_codec.cpp
 * cereal functions of changes and snapshots.
 */

#include "config_codec_func.h"
#include "core/codec_func.h"

#include <limits>
#include <sstream>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::uint8_t changeFormat = 1;
constexpr std::uint8_t snapshotFormat = 1;
constexpr std::size_t maxCount = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t maxTextBytes = 2048;

} // namespace

template<typename Archive, typename Container>
void serializeList(Archive &archive, Container &items)
{
    if constexpr (Archive::is_loading::value)
        loadBounded(archive, items, maxCount);
    else
        saveBounded(archive, items);
}

template<typename Archive>
void serializeText(Archive &archive, std::string &text)
{
    auto count = static_cast<std::uint16_t>(text.size());
    archive(count);
    if constexpr (Archive::is_loading::value) {
        if (count > maxTextBytes)
            throw std::length_error("text above bound");
        text.resize(count);
    }
    archive(cereal::binary_data(text.data(), count));
}

/** Loads a flag or enumerator as a byte, and refuses values above the last one. */
template<typename Archive, typename Small>
void serializeByte(Archive &archive, Small &value, std::uint8_t last)
{
    auto byte = static_cast<std::uint8_t>(value);
    archive(byte);
    if constexpr (Archive::is_loading::value) {
        if (byte > last)
            throw std::out_of_range("byte above its range");
        value = static_cast<Small>(byte);
    }
}

template<typename Archive>
void serializeTime(Archive &archive, wall_time &time)
{
    std::int64_t seconds = time.count();
    archive(seconds);
    if constexpr (Archive::is_loading::value)
        time = wall_time(seconds);
}

template<typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
}

template<typename Archive>
void serialize(Archive &archive, slot_run &run)
{
    archive(run.first, run.count, run.entry.holder, run.entry.next);
    serializeByte(archive, run.entry.tracked, 1);
}

template<typename Archive>
void serialize(Archive &archive, upstream_config &upstream)
{
    archive(upstream.id);
    serializeText(archive, upstream.name);
    archive(upstream.domain, upstream.address, upstream.health, upstream.weight, upstream.slots,
            upstream.maxFlows);
    serializeByte(archive, upstream.mode, 1);
    if (upstream.mode == upstream_mode::Leaving) {
        serializeTime(archive, upstream.leavingSince);
        serializeTime(archive, upstream.finalTime);
    }
    archive(upstream.addedIn);
}

template<typename Archive>
void serialize(Archive &archive, service_limits &limits)
{
    archive(limits.newFlowsPerSecond, limits.maxFlows, limits.retryBudgetPercent,
            limits.retryAfterMs);
}

template<typename Archive>
void serialize(Archive &archive, service_change &change)
{
    archive(change.id);
    serializeByte(archive, change.isRemoved, 1);
    if (change.isRemoved)
        return;
    serializeText(archive, change.name);
    archive(change.address);
    serializeByte(archive, change.protocol, 2);
    archive(change.limits, change.slotCount);
    serializeList(archive, change.upstreams);
    serializeList(archive, change.removedUpstreams);
    serializeList(archive, change.slots);
}

template<typename Archive>
void serialize(Archive &archive, config_change &change)
{
    archive(change.baseVersion, change.version, change.lastServiceId, change.lastUpstreamId);
    serializeText(archive, change.patchId);
    serializeText(archive, change.summary);
    serializeList(archive, change.services);
}

template<typename Archive>
void serialize(Archive &archive, accepted_patch &patch)
{
    archive(patch.version);
    serializeText(archive, patch.id);
    serializeText(archive, patch.summary);
}

template<typename Archive>
void serialize(Archive &archive, config_snapshot &snapshot)
{
    archive(snapshot.change);
    serializeList(archive, snapshot.accepted);
}

namespace {

/** As encodeBinary(), without the copies that would count for a whole configuration. */
template<typename Value>
std::string encode(std::uint8_t format, const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(format, value);
    }
    return std::move(stream).str();
}

template<typename Value>
result<Value> decode(std::uint8_t format, std::string_view bytes)
{
    return decodeBinary<Value>(format, std::as_bytes(std::span(bytes)));
}

} // namespace

std::string encodeChange(const config_change &change)
{
    return encode(changeFormat, change);
}

result<config_change> decodeChange(std::string_view bytes)
{
    return decode<config_change>(changeFormat, bytes);
}

std::string encodeSnapshot(const config_snapshot &snapshot)
{
    return encode(snapshotFormat, snapshot);
}

result<config_snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode<config_snapshot>(snapshotFormat, bytes);
}

} // namespace chicoryhead
