/**
 * @file placement/local_share.cpp
 * Shares by capacity and by latency.
 */

#include "local_share_base.h"

#include <algorithm>

namespace chicoryhead {

double capacity_share::keptShare(const domain_options &options, monotonic_time /*now*/) const
{
    const double mean = (options.ownCapacity + options.othersCapacity)
        / static_cast<double>(m_locality.domainCount);
    return std::min(1.0, options.ownCapacity / (m_settings.minLocalCapacityRatio * mean));
}

double crowding_share::keptShare(const domain_options &options, monotonic_time now) const
{
    const double best = m_latencies.bestOf(options.service);
    const double own = m_latencies.usual(options.own, now);
    if (best <= 0 || own <= m_settings.spilloverBestRatio * best)
        return 1;
    // Others that were not measured lately may be as fast as the best was.
    const double reference = std::max(best, m_latencies.usual(options.others, now));
    if (own <= m_settings.spilloverRemoteRatio * reference)
        return 1;
    // Latency grows faster than load, so it takes a steep share to even it out; flows that are open
    // stay where they are.
    const double crowding = own / reference;
    return 1 / (crowding * crowding * crowding);
}

} // namespace chicoryhead
