/**
 * @file liveness_report_type.h
 * Reports that instances exchange about answering and unresponsive upstreams.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicoryhead {

/** Identifies an instance in liveness reports; a hash of its name. */
using reporter_id = std::uint32_t;

/** An instance whose callers retransmitted packets to an upstream, or got no answer from it. */
struct failure_reporter
{
    reporter_id instance = 0;
    std::uint8_t retransmissions = 0; ///< packets retransmitted for lack of an answer
    /// Since the first of these packets was first forwarded; without such packets, since the first
    /// stalled request was.
    std::uint32_t ageMs = 0;
    /// Those of the packets that were requests on open flows; 0 from releases that don't tell.
    std::uint8_t requests = 0;
    std::uint32_t requestAgeMs = 0; ///< since the latest of these requests was forwarded
    std::uint8_t waiting = 0; ///< requests that were acknowledged and have waited for an answer
    std::uint8_t stalled = 0; ///< those of them that have waited for their target latency
    std::uint32_t stalledAgeMs = 0;      ///< since the latest of them was forwarded
    std::uint32_t stalledSinceAgeMs = 0; ///< since the first of them was forwarded

    bool operator==(const failure_reporter &) const = default;
};

/**
 * Liveness of one upstream as seen by the sender. Receivers combine it with other reports; it does
 * not set their state directly.
 */
struct liveness_report
{
    steering_tag upstream = noTag;
    std::optional<std::uint32_t> answeredAgeMs; ///< since the last known answer; empty if none
    std::vector<failure_reporter> reporters;
    /// The sender distinguishes answers to requests from accepted flows. If it does not, any answer
    /// counts as one to a request.
    bool tellsRequestAnswers = false;
    /// Since the last known answer to a request; empty if none.
    std::optional<std::uint32_t> requestAnsweredAgeMs {};

    bool operator==(const liveness_report &) const = default;
};

} // namespace chicoryhead
