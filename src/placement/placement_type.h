/**
 * @file placement/placement_type.h
 * Settings of upstream selection, and the tiers that upstreams are sorted into.
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

/** Times and thresholds of the selection rules. */
struct placement_settings
{
    /// Time for which an upstream gets no new flows after an unanswered opening packet; doubles
    /// with each further one. Any network loses single datagrams, so it starts short. The value
    /// trades lost flows against the capacity of a healthy upstream; the configured bounds limit
    /// neither, and an upstream that restarts is trusted immediately.
    monotonic_time baseSuspicionTime = std::chrono::milliseconds(500);
    /// Upper limit of the doubled suspicion time.
    monotonic_time maxSuspicionTime = std::chrono::seconds(8);
    /// Largest fraction of a service's slots that this instance avoids on its own evidence. If more
    /// is suspected, the likely cause is the instance's own link, and the remaining upstreams would
    /// be overloaded.
    double maxSuspectedFraction = 0.5;
    /// Factor on the weight of an upstream that is still warming up after its start.
    double warmupFactor = 0.5;
    /// Fraction of the configured rate of a cold upstream that permits are issued for. Permits that
    /// were left over add half as many in one second, and instances may disagree about their
    /// number.
    double warmupRateFraction = 0.75;
    /// Time for which an unused permit for a flow to a cold upstream stays valid.
    monotonic_time warmupPermitLifetime = std::chrono::milliseconds(500);
    /// Fraction of an upstream's connection limit that the instances of its domain share. The rest
    /// is for other domains, and for flows that an instance no longer tracks.
    double localConnectionFraction = 0.6;
    /// Fraction of the limit that the instances of all other domains share, so that a domain whose
    /// upstreams are gone or evacuated finds room elsewhere. Without other domains the local
    /// instances share it as well.
    double remoteConnectionFraction = 0.3;
    /// An upstream is slow if its latency exceeds this multiple of its service's median.
    double slowLatencyRatio = 2.0;
    /// Smallest factor on the weight of a slow upstream; it needs some flows to be measured again.
    double minSlowFactor = 0.05;
    /// Weight of the newest sample in the exponential moving average of latencies.
    double latencySmoothing = 0.25;
    /// Older latencies are ignored: they no longer describe the upstream's current state.
    monotonic_time maxLatencyAge = std::chrono::seconds(4);
    /// Number of samples needed before an upstream can be considered slow.
    unsigned minLatencySamples = 4;
    /// The local domain keeps all its new flows while its capacity is at least this fraction of the
    /// mean capacity (weighted slots) per domain. Below it some flows spill over to remote domains,
    /// so that local upstreams are at most 1/0.75 times as busy as the mean; at the usual load of
    /// 40 to 50% that leaves them headroom.
    double minLocalCapacityRatio = 0.75;
    /// The local domain may be overloaded if the median latency of its upstreams exceeds this
    /// multiple of the service's best latency: requests are then queued for about as long as they
    /// are processed. Averages of a few requests differ by a factor of up to 1.5 without load, and
    /// a flow that leaves its domain needlessly is lost if the domain is partitioned off.
    double spilloverBestRatio = 1.8;
    /// It is overloaded if its median also exceeds this multiple of the remote domains' median.
    double spilloverRemoteRatio = 1.2;
    /// Fraction of a domain's upstreams that must have enough samples for its median to be used.
    double minMeasuredFraction = 0.25;
    /// Interval between updates of a service's best latency; each scans all its upstreams.
    monotonic_time bestLatencyInterval = std::chrono::milliseconds(100);
    /// Relative growth of the best latency per second, so that it follows a service that became
    /// slower.
    double bestLatencyGrowth = 0.05;
};

/** Failure domain of an instance, and what distinguishes it from other instances. */
struct instance_locality
{
    std::string domain;          ///< local failure domain
    std::size_t domainCount = 1; ///< number of failure domains in the deployment
    /// Differs between instances, so that they do not all start with the same upstream before
    /// setInstanceIndex() is called.
    std::uint64_t seed = 0;
};

/** Preference for an upstream. A tier is used only if all tiers above it in this list are empty. */
enum class upstream_tier : std::uint8_t {
    LocalDomain,
    RemoteDomain,
    SuspectedPath, ///< in a domain whose path recently lost an opening packet
    Missing,       ///< its announcement lapsed
    Suspected,     ///< recently left opening packets unanswered
    Tried,         ///< already left an opening packet of this flow unanswered
    None,          ///< takes no new flows
};

/// Number of tiers that upstreams are selected from, without None.
inline constexpr std::size_t upstreamTierCount = 6;

/** Upstreams of one service by tier. */
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

/// Maps a hash to a value in [0, 1) with a uniform distribution.
double hashToUnitInterval(std::uint64_t hash);

} // namespace chicoryhead
