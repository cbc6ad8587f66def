/**
 * @file core_base.h
 * Interfaces through which the library accesses time, randomness and the network.
 *
 * The library has no clock, sockets or threads of its own. The entry process implements these
 * interfaces; tests implement them in virtual time.
 */

#pragma once

#include "core_type.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace chicoryhead {

/** Source of monotonic time. */
class clock_source
{
public:
    virtual ~clock_source() = default;

    /** Returns the current time, which never goes backwards. */
    virtual monotonic_time now() const = 0;
};

/** Source of random bits; seeded by the code that creates it. */
class random_source
{
public:
    virtual ~random_source() = default;

    /** Returns 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;
};

/** Sends datagrams to other instances. */
class peer_sink
{
public:
    virtual ~peer_sink() = default;

    /** Sends one datagram, which may be lost, duplicated or reordered. */
    virtual void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) = 0;
};

} // namespace chicoryhead
