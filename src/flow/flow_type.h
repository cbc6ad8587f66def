/**
 * @file flow_type.h
 * Entry of the flow table and its protocol states.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>
#include <cstdint>

namespace chicoryhead {

/** Protocol state of a flow; sets its idle timeout. */
enum class flow_state : std::uint8_t {
    Opening,     ///< SYN seen
    Established, ///< reply seen, or known from a home
    Closing,     ///< FIN or RST seen
    Datagram,    ///< UDP without open and close frames
};

/** Coarse time of flow state: hundredths of a second, modulo 2^32 (497 days). */
using flow_time = std::uint32_t;

/** Converts a monotonic time to flow time. */
constexpr flow_time toFlowTime(monotonic_time time)
{
    return static_cast<flow_time>(time.count() / 10'000);
}

/** Converts a duration to flow time. */
constexpr flow_time flowDuration(std::chrono::milliseconds duration)
{
    return static_cast<flow_time>(duration.count() / 10);
}

/** One flow of the table. */
struct flow_entry
{
    flow_hash hash = 0;
    upstream_id upstream = noUpstream;
    flow_time seenAt = 0;      ///< last packet in either direction
    flow_time confirmedAt = 0; ///< last reply or decision of a home
    flow_state state = flow_state::Established;
};

} // namespace chicoryhead
