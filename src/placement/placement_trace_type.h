/**
 * @file placement/placement_trace_type.h
 * Explanation of the selection that the next flow of a service would get.
 */

#pragma once

#include "core/core_type.h"
#include "placement_type.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** Rule that decides among which upstreams a flow is placed. */
enum class placement_rule : std::uint8_t {
    None,       ///< no upstream takes new flows
    RoundRobin, ///< the highest credit in the local domain
    Spillover,  ///< part of the flows leaves the local domain, and this flow does
    Tier,       ///< all better tiers are empty
};

/** Name of a rule on status pages. */
std::string_view toString(placement_rule rule);

/** Name of a tier on status pages. */
std::string_view toString(upstream_tier tier);

/** One upstream of the service, as the selection rates it. */
struct candidate_trace
{
    upstream_id id = noUpstream;
    upstream_tier tier = upstream_tier::None;
    double weight = 0;               ///< in the round robin; 0 in tier None
    monotonic_time latency {0};      ///< short moving average; 0 if unknown
    monotonic_time expectedWait {0}; ///< long-term average; 0 if unknown or balancing is off
    bool isSuspected = false;
};

/** Selection for one flow, with all upstreams of its service in the directory's order. */
struct placement_trace
{
    std::vector<candidate_trace> candidates;
    std::optional<upstream_id> selected; ///< empty if and only if the rule is None
    placement_rule rule = placement_rule::None;
    double spilledShare = 0; ///< share of the flows that leaves the local domain, from 0 to 1
    /// Accumulated share before this flow; the flow spills over if it is 1 with spilledShare added.
    double spilloverCredit = 0;
};

} // namespace chicoryhead
