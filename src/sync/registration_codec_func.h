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

/** Eras of the revisions in a message, which itself has only their numbers. */
struct era_extension
{
    std::uint64_t state = 0;
    std::uint64_t evacuations = 0;
};

template<typename Archive>
void serialize(Archive &archive, era_extension &value)
{
    archive(value.state, value.evacuations);
}

/** Eras of a digest or state. */
template<typename Message>
era_extension erasOf(const Message &message)
{
    return {message.revision.era, message.evacuations ? message.evacuations->revision.era : 0};
}

/** Adds the eras to the revisions of a decoded digest or state. */
template<typename Message>
void setEras(Message &message, const std::optional<era_extension> &eras)
{
    message.hasEra = eras.has_value();
    if (!eras)
        return;
    message.revision.era = eras->state;
    message.contentRevision.era = eras->state;
    if (message.evacuations)
        message.evacuations->revision.era = eras->evacuations;
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
