/**
 * @file balancing/speed_tracker.cpp
 * Long-term averages, their medians and the speeds that follow from them.
 */

#include "speed_tracker_base.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace chicoryhead {

void speed_tracker::addSample(upstream_id upstream, monotonic_time latency, monotonic_time now)
{
    const auto *record = m_directory.find(upstream);
    if (record == nullptr)
        return;
    latency_average &average = m_averages[upstream];
    if (isExpired(average, now))
        average = {};
    const double sample = std::max(1.0, static_cast<double>(latency.count()));
    // Before averagedSamples the average is the mean of all samples, so that the first one has no
    // greater weight than the others.
    average.sampleCount = std::min(average.sampleCount + 1, m_settings.averagedSamples);
    average.latency += (sample - average.latency) / average.sampleCount;
    average.updatedAt = now;

    const std::string &service = record->announced.service;
    service_median &median = m_medians[service];
    if (now >= median.nextUpdate)
        updateMedian(service, median, now);
    else
        updateSpeed(average, median);
}

double speed_tracker::speedOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    return found == m_averages.end() || isExpired(found->second, now) ? 1 : found->second.speed;
}

monotonic_time speed_tracker::averageLatencyOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_averages.find(upstream);
    if (found == m_averages.end() || isExpired(found->second, now))
        return monotonic_time {0};
    return monotonic_time(static_cast<monotonic_time::rep>(found->second.latency));
}

void speed_tracker::updateMedian(const std::string &service, service_median &median,
                                 monotonic_time now)
{
    median.nextUpdate = now + m_settings.medianInterval;
    std::vector<double> latencies;
    std::vector<latency_average *> averages;
    for (const upstream_id id : m_directory.findByService(service)) {
        const auto found = m_averages.find(id);
        if (found == m_averages.end() || isExpired(found->second, now))
            continue;
        averages.push_back(&found->second);
        if (found->second.sampleCount >= m_settings.minSamples)
            latencies.push_back(found->second.latency);
    }
    const bool isRepresentative = static_cast<double>(latencies.size())
        > m_settings.minMeasuredFraction * static_cast<double>(averages.size());
    if (isRepresentative) {
        const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        median.latency = *middle;
    } else {
        median.latency = 0;
    }
    for (latency_average *average : averages)
        updateSpeed(*average, median);
}

void speed_tracker::updateSpeed(latency_average &average, const service_median &median) const
{
    average.speed = 1;
    if (average.sampleCount < m_settings.minSamples || median.latency <= 0)
        return;
    const double speed = median.latency / average.latency;
    if (speed < m_settings.minDistinctSpeed || speed > m_settings.maxDistinctSpeed)
        average.speed = std::clamp(speed, m_settings.minSpeed, m_settings.maxSpeed);
}

} // namespace chicoryhead
