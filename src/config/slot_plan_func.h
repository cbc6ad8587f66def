/**
 * @file slot_plan_func.h
 * Planning of slot tables. Deterministic, so that every instance that validates a patch gets the
 * same table.
 */

#pragma once

#include "config_type.h"

#include <cstddef>

namespace chicoryhead {

/// Slots per upstream at creation; shares are then exact within about 6% of one upstream's share.
inline constexpr std::size_t slotsPerUpstream = 16;
/// A service created with fewer than 4 upstreams can still grow to 64.
inline constexpr std::size_t minSlots = 64;
/// Fits the 16-bit counts of the codec.
inline constexpr std::size_t maxSlots = 32768;

/** Number of slots of a service that is created with this many upstreams; a power of two. */
std::size_t slotCountFor(std::size_t upstreams);

/**
 * Sets `next` of the slots so that each active upstream has its share by weight, within one slot,
 * and as few slots as possible change. Holders stay, but for slots that have none.
 */
void planSlots(service_config &service);

/** Makes `next` the holder of an upstream's slots and tracks them; for its removal. */
void releaseSlots(service_config &service, upstream_id upstream);

/**
 * Ends tracking: `next` becomes the holder. Slots held by a leaving upstream stay as they are,
 * because its open flows are recorded nowhere.
 */
void settleSlots(service_config &service);

} // namespace chicoryhead
