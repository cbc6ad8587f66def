/**
 * @file placement/local_share.cpp
 * Local share by capacity and by latency.
 */

#include "local_share_base.h"

#include <algorithm>

namespace chicoryhead {

double capacity_share::localShare(const domain_candidates &candidates, monotonic_time /*now*/) const
{
    const double mean = (candidates.localCapacity + candidates.remoteCapacity)
        / static_cast<double>(m_locality.domainCount);
    return std::min(1.0, candidates.localCapacity / (m_settings.minLocalCapacityRatio * mean));
}

double latency_share::localShare(const domain_candidates &candidates, monotonic_time now) const
{
    const double best = m_latencies.bestLatencyOf(candidates.service);
    const double local = m_latencies.representativeMedian(candidates.local, now);
    if (best <= 0 || local <= m_settings.spilloverBestRatio * best)
        return 1;
    // Without recent samples of remote upstreams, assume that they have the best known latency.
    const double reference =
        std::max(best, m_latencies.representativeMedian(candidates.remote, now));
    if (local <= m_settings.spilloverRemoteRatio * reference)
        return 1;
    // Latency grows faster than load, so the share must fall steeply with it to even out the load;
    // open flows stay where they are.
    const double latencyRatio = local / reference;
    return 1 / (latencyRatio * latencyRatio * latencyRatio);
}

} // namespace chicoryhead
