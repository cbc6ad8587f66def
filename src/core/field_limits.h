/**
 * @file field_limits.h
 * Limits of fields that come from other writers and are passed on between instances. What one
 * decoder accepts, all others must accept as well: a single refused field makes a whole message
 * unusable.
 */

#pragma once

#include "core_type.h"

#include <chrono>
#include <cstddef>

namespace chicoryhead {

/// Bytes in the name of an instance, an upstream, a service, a failure domain or a route.
inline constexpr std::size_t maxNameBytes = 512;

/// Services that the new flows of a route are split between.
inline constexpr std::size_t maxRouteTargets = 256;

/// Entries in one list of a message, whose count has 16 bits.
inline constexpr std::size_t maxListEntries = 65535;

/// Slots of an upstream, weights of targets and priorities of routes.
inline constexpr unsigned maxCount = 1'000'000;

/// Longest duration; a longer one is an error of its writer.
inline constexpr monotonic_time maxDuration = std::chrono::hours(24);

} // namespace chicoryhead
