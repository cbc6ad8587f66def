/**
 * @file liveness_report_type.h
 * What instances tell each other about upstreams that don't answer.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicoryhead {

/** Number by which instances know each other as witnesses; a hash of the name. */
using reporter_id = std::uint32_t;

/** One instance whose callers repeated packets to an upstream. */
struct failure_reporter
{
    reporter_id instance = 0;
    std::uint8_t retransmissions = 0; ///< packets that were sent again without an answer
    std::uint32_t ageMs = 0;          ///< since the first of these packets was first sent on

    bool operator==(const failure_reporter &) const = default;
};

/** What is known of one upstream; an observation that others weigh, never an order. */
struct liveness_report
{
    steering_tag upstream = noTag;
    std::optional<std::uint32_t> answeredAgeMs; ///< since the last known answer; empty for none
    std::vector<failure_reporter> reporters;

    bool operator==(const liveness_report &) const = default;
};

} // namespace chicoryhead
