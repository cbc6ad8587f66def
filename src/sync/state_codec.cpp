/**
 * @file state_codec.cpp
 * Serialization functions of the state. Counts are checked before memory is allocated for them.
 */

#include "state_codec_func.h"

#include "core/codec_func.h"
#include "core/compress_func.h"
#include "core/field_limits.h"
#include "registration_codec_func.h"

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>

namespace chicoryhead {

namespace {

/// Increased when the encoding changes; instances with another format version then read the store
/// themselves.
constexpr std::uint8_t stateFormatVersion = 4;
/// Size limit of a decompressed state; it has 8.5 MB at the fleet size planned for in two years.
constexpr std::size_t maxStateBytes = std::size_t {32} * 1024 * 1024;

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

/// Reads the flag as a byte: a bool with a value other than 0 and 1 is undefined behaviour, and
/// corrupted messages contain such values.
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
    if (count < 0 || count > maxDuration.count())
        throw std::out_of_range("duration out of range");
    time = monotonic_time(count);
}

} // namespace

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
    loadBounded(archive, value.targets, maxRouteTargets);
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
    loadBounded(archive, value.routes, maxListEntries);
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
    archive(value.startedAtMs, value.sequenceNumber);
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
    archive(value.startedAtMs, value.sequenceNumber);
}

template<typename Archive>
void save(Archive &archive, const state_snapshot &value)
{
    archive(value.baseRevision.number, value.revision.number, value.contentRevision.number,
            value.ageMs);
    saveTime(archive, value.outageGraceLeft);
    saveFlag(archive, value.hasConfig);
    if (value.hasConfig)
        archive(value.config);
    saveBounded(archive, value.upstreams);
    saveBounded(archive, value.missing);
    saveBounded(archive, value.instances);
    saveNames(archive, value.removedUpstreams);
    saveNames(archive, value.removedInstances);
}

template<typename Archive>
void load(Archive &archive, state_snapshot &value)
{
    archive(value.baseRevision.number, value.revision.number, value.contentRevision.number,
            value.ageMs);
    loadTime(archive, value.outageGraceLeft);
    loadFlag(archive, value.hasConfig);
    if (value.hasConfig)
        archive(value.config);
    loadBounded(archive, value.upstreams, maxListEntries);
    loadBounded(archive, value.missing, maxListEntries);
    loadBounded(archive, value.instances, maxListEntries);
    loadNames(archive, value.removedUpstreams);
    loadNames(archive, value.removedInstances);
}

namespace detail {

/** What releases after the first of the format version add to a state. */
struct state_extension
{
    evacuated_domains evacuations;
    std::map<std::string, double> warmupRates; ///< of the configuration, if there is one
};

template<typename Archive>
void save(Archive &archive, const state_extension &value)
{
    archive(value.evacuations, static_cast<std::uint16_t>(value.warmupRates.size()));
    for (const auto &[service, rate] : value.warmupRates) {
        saveBytes(archive, service);
        archive(rate);
    }
}

template<typename Archive>
void load(Archive &archive, state_extension &value)
{
    std::uint16_t count = 0;
    archive(value.evacuations, count);
    for (std::uint16_t i = 0; i < count; ++i) {
        std::string service;
        double rate = 0;
        loadBytes(archive, service, maxNameBytes);
        archive(rate);
        if (rate > 0)
            value.warmupRates[service] = rate;
    }
}

/** Connection limits of the configuration, which a later release added. */
struct connection_limit_extension
{
    std::map<std::string, std::uint32_t> maxConnections;
};

template<typename Archive>
void save(Archive &archive, const connection_limit_extension &value)
{
    archive(static_cast<std::uint16_t>(value.maxConnections.size()));
    for (const auto &[service, limit] : value.maxConnections) {
        saveBytes(archive, service);
        archive(limit);
    }
}

template<typename Archive>
void load(Archive &archive, connection_limit_extension &value)
{
    std::uint16_t count = 0;
    archive(count);
    for (std::uint16_t i = 0; i < count; ++i) {
        std::string service;
        std::uint32_t limit = 0;
        loadBytes(archive, service, maxNameBytes);
        archive(limit);
        if (limit > 0)
            value.maxConnections[service] = limit;
    }
}

} // namespace detail

std::vector<std::byte> encodeState(const state_snapshot &state)
{
    std::optional<detail::state_extension> extension;
    if (state.evacuations)
        extension = detail::state_extension {*state.evacuations, state.config.warmupRates};
    std::optional<detail::epoch_extension> epochs;
    if (state.hasEpoch)
        epochs = detail::epochsOf(state);
    std::optional<detail::connection_limit_extension> limits;
    if (!state.config.maxConnections.empty())
        limits = detail::connection_limit_extension {state.config.maxConnections};
    return compressBytes(encodeExtended(stateFormatVersion, state, extension, epochs, limits));
}

result<state_snapshot> decodeState(std::span<const std::byte> bytes)
{
    const auto restored = decompressBytes(bytes, maxStateBytes);
    if (!restored)
        return restored.error();
    std::optional<detail::state_extension> extension;
    std::optional<detail::epoch_extension> epochs;
    std::optional<detail::connection_limit_extension> limits;
    auto state = decodeExtended<state_snapshot>(stateFormatVersion, restored.value(), extension,
                                                epochs, limits);
    if (!state)
        return state;
    if (extension) {
        state.value().evacuations = std::move(extension->evacuations);
        state.value().config.warmupRates = std::move(extension->warmupRates);
    }
    if (limits)
        state.value().config.maxConnections = std::move(limits->maxConnections);
    detail::setEpochs(state.value(), epochs);
    if (state.value().baseRevision)
        state.value().baseRevision.epoch = state.value().revision.epoch;
    return state;
}

} // namespace chicoryhead
