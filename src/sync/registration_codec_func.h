/**
 * @file registration_codec_func.h
 * Serialization of addresses and registrations with cereal, shared by the codecs that use them.
 */

#pragma once

#include "core/codec_func.h"
#include "fleet_store_base.h"

#include <cstddef>

namespace chicoryhead {

namespace detail {

inline constexpr std::size_t maxNameBytes = 512; ///< name of an instance, upstream, service, domain

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
    loadBytes(archive, value.name, detail::maxNameBytes);
    loadBytes(archive, value.domain, detail::maxNameBytes);
    archive(value.peerAddress);
}

} // namespace chicoryhead
