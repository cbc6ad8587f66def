/**
 * @file placement/domain_share.cpp
 * Shares by capacity and by latency.
 */

#include "domain_share_base.h"

#include <algorithm>

namespace chicoryhead {

double capacity_share::keptShare(const domain_options &options, monotonic_time /*now*/) const
{
    const double mean = (options.ownCapacity + options.othersCapacity)
        / static_cast<double>(m_position.domainCount);
    return std::min(1.0, options.ownCapacity / (m_limits.keptCapacity * mean));
}

double crowding_share::keptShare(const domain_options &options, monotonic_time now) const
{
    const double best = m_latencies.bestOf(options.service);
    const double own = m_latencies.usual(options.own, now);
    if (best <= 0 || own <= m_limits.crowdedRatio * best)
        return 1;
    // The share falls with the square, so that it settles where latency is a little above the
    // ratio.
    const double crowding = own / (m_limits.crowdedRatio * best);
    return 1 / (crowding * crowding);
}

} // namespace chicoryhead
