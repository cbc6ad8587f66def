/**
 * @file registration_codec_func.h
 * Serialization of addresses, registrations and evacuations with cereal, shared by the codecs that
 * use them.
 */

#pragma once

#include "core/codec_func.h"
#include "core/field_limits.h"
#include "fleet_store_base.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace chicoryhead {

namespace detail {

/** Epochs of the revisions in a message, which itself has only their numbers. */
struct epoch_extension
{
    std::uint64_t state = 0;
    std::uint64_t evacuations = 0;
};

template<typename Archive>
void serialize(Archive &archive, epoch_extension &value)
{
    archive(value.state, value.evacuations);
}

/** Epochs of a digest or state. */
template<typename Message>
epoch_extension epochsOf(const Message &message)
{
    return {message.revision.epoch, message.evacuations ? message.evacuations->revision.epoch : 0};
}

/** Adds the epochs to the revisions of a decoded digest or state. */
template<typename Message>
void setEpochs(Message &message, const std::optional<epoch_extension> &epochs)
{
    message.hasEpoch = epochs.has_value();
    if (!epochs)
        return;
    message.revision.epoch = epochs->state;
    message.contentRevision.epoch = epochs->state;
    if (message.evacuations)
        message.evacuations->revision.epoch = epochs->evacuations;
}

inline constexpr std::size_t maxEvacuatedDomains = 1024;

} // namespace detail

template<typename Archive>
void serialize(Archive &archive, endpoint &value)
{
    archive(value.address, value.port);
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
void save(Archive &archive, const evacuated_domains &value)
{
    archive(value.revision.number, static_cast<std::uint16_t>(value.names.size()));
    for (const std::string &name : value.names)
        saveBytes(archive, name);
}

template<typename Archive>
void load(Archive &archive, evacuated_domains &value)
{
    std::uint16_t count = 0;
    archive(value.revision.number, count);
    if (count > detail::maxEvacuatedDomains)
        throw std::length_error("count above bound");
    for (std::uint16_t i = 0; i < count; ++i) {
        std::string name;
        loadBytes(archive, name, maxNameBytes);
        value.names.insert(std::move(name));
    }
}

} // namespace chicoryhead
