/**
 * @file metrics_func.h
 * Metrics of one instance in the Prometheus text format.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "metrics_type.h"
#include "steering/steering_base.h"

#include <cstddef>
#include <span>
#include <string>

namespace chicoryhead {

/**
 * Upstreams that have series of their own, per instance. At 59,000 upstreams they would take more
 * than 10 MB for each scrape; the rest is in chicoryhead_upstreams only.
 */
inline constexpr std::size_t maxUpstreamSeries = 1024;

/** What the metrics are made from. */
struct metrics_input
{
    const blackboard &board;
    const instance_histograms &histograms;
    std::span<const upstream_flow_count> flows; ///< from steering_policy::countFlows()
    std::size_t records = 0;                    ///< from steering_policy::countRecords()
    monotonic_time now {0};
};

/** Renders all metrics, text format 0.0.4. */
std::string renderMetrics(const metrics_input &input);

} // namespace chicoryhead
