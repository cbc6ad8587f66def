/**
 * @file placement/latency_record.cpp
 * Averages and medians of latencies.
 */

#include "latency_record_base.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace chicoryhead {

void latency_record::note(upstream_id upstream, monotonic_time latency, monotonic_time now)
{
    average &known = m_averages[upstream];
    const auto sample = static_cast<double>(latency.count());
    const bool isStale = now - known.at > m_limits.latencyMemory;
    if (known.count == 0 || isStale) {
        known.latency = sample;
        known.count = 1;
    } else {
        known.latency += m_limits.latencySmoothing * (sample - known.latency);
        ++known.count;
    }
    known.at = now;
    const auto *record = m_directory.find(upstream);
    if (record != nullptr && known.count >= m_limits.minLatencies)
        updateBest(*record, now);
}

void latency_record::noteAtLeast(upstream_id upstream, monotonic_time age, monotonic_time now)
{
    const auto found = m_averages.find(upstream);
    const bool isSlower =
        found == m_averages.end() || static_cast<double>(age.count()) > found->second.latency;
    if (isSlower)
        note(upstream, age, now);
}

monotonic_time latency_record::latencyOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    if (found == m_averages.end() || now - found->second.at > m_limits.latencyMemory)
        return monotonic_time {0};
    return monotonic_time(static_cast<monotonic_time::rep>(found->second.latency));
}

double latency_record::ratioTo(double median, upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    if (median <= 0 || found == m_averages.end() || !isMeasured(found->second, now))
        return 0;
    return found->second.latency / median;
}

bool latency_record::isMeasured(const average &known, monotonic_time now) const
{
    return known.count >= m_limits.minLatencies && now - known.at <= m_limits.latencyMemory;
}

double latency_record::median(std::span<const upstream_id> upstreams, monotonic_time now) const
{
    std::vector<double> latencies;
    for (const upstream_id id : upstreams) {
        const auto found = m_averages.find(id);
        if (found != m_averages.end() && isMeasured(found->second, now))
            latencies.push_back(found->second.latency);
    }
    if (latencies.empty())
        return 0;
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

double latency_record::usual(std::span<const upstream_id> upstreams, monotonic_time now) const
{
    const auto measured = std::count_if(upstreams.begin(), upstreams.end(), [&](upstream_id id) {
        const auto found = m_averages.find(id);
        return found != m_averages.end() && isMeasured(found->second, now);
    });
    const bool isEnough = static_cast<double>(measured)
        >= m_limits.measuredPart * static_cast<double>(upstreams.size());
    return isEnough ? median(upstreams, now) : 0;
}

double latency_record::bestOf(const std::string &service) const
{
    const auto found = m_best.find(service);
    return found == m_best.end() ? 0 : found->second.latency;
}

/// The best latency is that of a whole domain: a single upstream of hundreds always had some short
/// requests lately, and beside it each domain would seem crowded.
void latency_record::updateBest(const upstream_record &measured, monotonic_time now)
{
    best_latency &best = m_best[measured.announced.service];
    if (now < best.nextCheck)
        return;
    best.nextCheck = now + m_limits.bestLatencyPause;
    std::vector<upstream_id> sameDomain;
    for (const upstream_id id : m_directory.findByService(measured.announced.service)) {
        const auto *record = m_directory.find(id);
        if (record->announced.domain == measured.announced.domain && takesNewFlows(*record))
            sameDomain.push_back(id);
    }
    const double latency = usual(sameDomain, now);
    if (latency <= 0)
        return;
    if (best.latency > 0) {
        const double seconds = std::chrono::duration<double>(now - best.at).count();
        best.latency *= 1 + m_limits.bestLatencyGrowth * seconds;
    }
    best.at = now;
    if (best.latency <= 0 || latency < best.latency)
        best.latency = latency;
}

double slow_upstream_weight::factorOf(const upstream_record &record, double median,
                                      monotonic_time now) const
{
    const double ratio = m_latencies.ratioTo(median, record.id, now);
    return ratio > m_limits.slowRatio ? std::max(m_limits.slowShare, 1 / (ratio * ratio)) : 1;
}

} // namespace chicoryhead
