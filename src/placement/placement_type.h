/**
 * @file placement/placement_type.h
 * Position, thresholds and preferences of the choice of upstreams.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace chicoryhead {

/** Times and thresholds of the rules. */
struct placement_settings
{
    /// After an unanswered opening packet, an upstream gets no new flow for this time, which
    /// doubles with each further one. Single datagrams are lost on any network, so it starts short.
    /// It weighs lost flows against the share of a good upstream; no bound of a deployment speaks
    /// of either, and an upstream that restarts is trusted at once.
    monotonic_time baseSuspicionTime = std::chrono::milliseconds(500);
    monotonic_time maxSuspicionTime = std::chrono::seconds(8);
    /// Part of a service's slots that this instance avoids at most on its own evidence. With more
    /// the fault is likely its own link, and the upstreams that are left would be overloaded.
    double maxSuspectedFraction = 0.5;
    /// Share of its weight that an upstream gets while it is slow after its start.
    double warmupFactor = 0.5;
    /// An upstream counts as slow when its latency is above this multiple of its service's median.
    double slowLatencyRatio = 2.0;
    /// Smallest share of its weight that a slow upstream gets; some flows must go on to measure it.
    double minSlowFactor = 0.05;
    /// Weight of the newest latency in the moving average.
    double latencySmoothing = 0.25;
    /// Latencies that are older say nothing about the upstream of now.
    monotonic_time maxLatencyAge = std::chrono::seconds(4);
    /// Latencies needed before an upstream can count as slow.
    unsigned minLatencySamples = 4;
    /// The own domain keeps all its new flows down to this part of the mean number of slots per
    /// domain. Below it some go to other domains, so that its upstreams are at most 1/0.75 times as
    /// busy as the mean; at the usual load of 40 to 50% that leaves them room.
    double minLocalCapacityRatio = 0.75;
    /// The own domain may be crowded when the median latency of its upstreams is above this
    /// multiple of the service's best: requests wait there for about as long as they are worked on.
    /// Averages of a few requests differ by up to 1.5 without load, and a flow that leaves its
    /// domain for nothing is lost when the domain is cut off.
    double spilloverBestRatio = 1.8;
    /// It is crowded when its median is also above this multiple of that of the other domains.
    double spilloverRemoteRatio = 1.2;
    /// Part of a domain's upstreams that must be measured for their median to count.
    double minMeasuredFraction = 0.25;
    /// Pause between two looks at the best latency, which walk all upstreams of the service.
    monotonic_time bestLatencyInterval = std::chrono::milliseconds(100);
    /// Growth of the best latency per second, so that it follows a service that became slower.
    double bestLatencyGrowth = 0.05;
};

/** Where an instance is. */
struct instance_locality
{
    std::string domain;          ///< own failure domain
    std::size_t domainCount = 1; ///< failure domains of the deployment
    /// Differs between instances, so that they do not all begin with the same upstream while
    /// setInstanceIndex() was not called.
    std::uint64_t seed = 0;
};

/** How good a choice an upstream is; a lower group is chosen only when the others are empty. */
enum class upstream_tier : std::uint8_t {
    LocalDomain,
    RemoteDomain,
    SuspectedPath, ///< in a domain to which an opening packet was lost lately
    Missing,       ///< announcement lapsed
    Suspected,
    Tried,
    None,
};

/// Number of groups that upstreams are chosen from, without None.
inline constexpr std::size_t upstreamTierCount = 6;

/** Upstreams of one service by group. */
class tiered_upstreams
{
public:
    std::vector<upstream_id> &of(upstream_tier tier)
    {
        return m_tiers.at(static_cast<std::size_t>(tier));
    }
    const std::vector<upstream_id> &of(upstream_tier tier) const
    {
        return m_tiers.at(static_cast<std::size_t>(tier));
    }

    auto begin() const { return m_tiers.begin(); }
    auto end() const { return m_tiers.end(); }

private:
    std::array<std::vector<upstream_id>, upstreamTierCount> m_tiers;
};

/// Spreads hashes evenly between 0 and 1.
double hashToUnitInterval(std::uint64_t hash);

} // namespace chicoryhead
