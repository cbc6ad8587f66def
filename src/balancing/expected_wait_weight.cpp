/**
 * @file balancing/expected_wait_weight.cpp
 * Combines learned speeds with recent latencies.
 */

#include "expected_wait_weight_base.h"

#include <algorithm>

namespace chicoryhead {

double expected_wait_weight::factorOf(const upstream_record &record, double median,
                                      monotonic_time now) const
{
    const double speed = m_speeds.speedOf(record.id, now);
    const double ratio = m_latencies.latencyRatio(median, record.id, now);
    if (ratio <= m_settings.slowLatencyRatio)
        return speed;
    // A speed above 1 was learned before the upstream became slow, and no longer holds.
    const double lowSpeed = std::min(speed, 1.0);
    const double excess = ratio * std::max(lowSpeed, 1 / m_settings.slowLatencyRatio);
    if (excess <= m_settings.slowLatencyRatio)
        return speed;
    return std::max(m_settings.minSlowFactor, lowSpeed / (excess * excess));
}

} // namespace chicoryhead
