/**
 * @file placement/latency_tracker.cpp
 * Moving averages, medians and best latencies.
 */

#include "latency_tracker_base.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace chicoryhead {

void latency_tracker::addSample(upstream_id upstream, monotonic_time latency, monotonic_time now)
{
    latency_average &average = m_averages[upstream];
    const auto sample = static_cast<double>(latency.count());
    const bool isStale = now - average.updatedAt > m_settings.maxLatencyAge;
    if (average.sampleCount == 0 || isStale) {
        average.latency = sample;
        average.sampleCount = 1;
    } else {
        average.latency += m_settings.latencySmoothing * (sample - average.latency);
        ++average.sampleCount;
    }
    average.updatedAt = now;
    const auto *record = m_directory.find(upstream);
    if (record != nullptr && average.sampleCount >= m_settings.minLatencySamples)
        updateBestLatency(*record, now);
}

bool latency_tracker::addLowerBound(upstream_id upstream, monotonic_time age, monotonic_time now)
{
    const auto found = m_averages.find(upstream);
    const bool isSlower =
        found == m_averages.end() || static_cast<double>(age.count()) > found->second.latency;
    if (isSlower)
        addSample(upstream, age, now);
    return isSlower;
}

monotonic_time latency_tracker::averageLatencyOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    if (found == m_averages.end() || now - found->second.updatedAt > m_settings.maxLatencyAge)
        return monotonic_time {0};
    return monotonic_time(static_cast<monotonic_time::rep>(found->second.latency));
}

double latency_tracker::latencyRatio(double median, upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    if (median <= 0 || found == m_averages.end() || !hasEnoughSamples(found->second, now))
        return 0;
    return found->second.latency / median;
}

bool latency_tracker::hasEnoughSamples(const latency_average &average, monotonic_time now) const
{
    return average.sampleCount >= m_settings.minLatencySamples
        && now - average.updatedAt <= m_settings.maxLatencyAge;
}

double latency_tracker::median(std::span<const upstream_id> upstreams, monotonic_time now) const
{
    std::vector<double> latencies;
    for (const upstream_id id : upstreams) {
        const auto found = m_averages.find(id);
        if (found != m_averages.end() && hasEnoughSamples(found->second, now))
            latencies.push_back(found->second.latency);
    }
    if (latencies.empty())
        return 0;
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

double latency_tracker::representativeMedian(std::span<const upstream_id> upstreams,
                                             monotonic_time now) const
{
    const auto measured = std::count_if(upstreams.begin(), upstreams.end(), [&](upstream_id id) {
        const auto found = m_averages.find(id);
        return found != m_averages.end() && hasEnoughSamples(found->second, now);
    });
    const bool isEnough = static_cast<double>(measured)
        >= m_settings.minMeasuredFraction * static_cast<double>(upstreams.size());
    return isEnough ? median(upstreams, now) : 0;
}

double latency_tracker::bestLatencyOf(const std::string &service) const
{
    const auto found = m_bestLatencies.find(service);
    return found == m_bestLatencies.end() ? 0 : found->second.latency;
}

/// The best latency is the median of a whole domain. Among hundreds of upstreams some single one
/// has always had a few short requests recently, and compared with it every domain would seem
/// overloaded.
void latency_tracker::updateBestLatency(const upstream_record &measured, monotonic_time now)
{
    best_latency &best = m_bestLatencies[measured.announced.service];
    if (now < best.nextCheck)
        return;
    best.nextCheck = now + m_settings.bestLatencyInterval;
    std::vector<upstream_id> sameDomain;
    for (const upstream_id id : m_directory.findByService(measured.announced.service)) {
        const auto *record = m_directory.find(id);
        if (record->announced.domain == measured.announced.domain && takesNewFlows(*record))
            sameDomain.push_back(id);
    }
    const double latency = representativeMedian(sameDomain, now);
    if (latency <= 0)
        return;
    if (best.latency > 0) {
        const double seconds = std::chrono::duration<double>(now - best.updatedAt).count();
        best.latency *= 1 + m_settings.bestLatencyGrowth * seconds;
    }
    best.updatedAt = now;
    if (best.latency <= 0 || latency < best.latency)
        best.latency = latency;
}

double slow_upstream_weight::factorOf(const upstream_record &record, double median,
                                      monotonic_time now) const
{
    const double ratio = m_latencies.latencyRatio(median, record.id, now);
    return ratio > m_settings.slowLatencyRatio
        ? std::max(m_settings.minSlowFactor, 1 / (ratio * ratio))
        : 1;
}

} // namespace chicoryhead
