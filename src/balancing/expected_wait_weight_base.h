/**
 * @file balancing/expected_wait_weight_base.h
 * Weight of upstreams by their learned speed.
 */

#pragma once

#include "core/core_type.h"
#include "placement/latency_tracker_base.h"
#include "placement/placement_rule_base.h"
#include "placement/placement_type.h"
#include "speed_tracker_base.h"

namespace chicoryhead {

/**
 * Weights upstreams by their speed, so that upstreams of different speed are equally busy. It takes
 * the place of slow_upstream_weight, which would count a permanent difference a second time: an
 * upstream is slow here only if its recent latency exceeds slowLatencyRatio times what its speed
 * explains. Speed explains a ratio of up to slowLatencyRatio, so an upstream that is slower than
 * the product of both has the weight of slow_upstream_weight.
 */
class expected_wait_weight : public weight_rule
{
public:
    expected_wait_weight(const speed_tracker &speeds, const latency_tracker &latencies,
                         const placement_settings &settings)
        : m_speeds(speeds), m_latencies(latencies), m_settings(settings)
    {
    }

    double factorOf(const upstream_record &record, double median,
                    monotonic_time now) const override;

private:
    const speed_tracker &m_speeds;
    const latency_tracker &m_latencies;
    const placement_settings &m_settings;
};

} // namespace chicoryhead
