/**
 * @file balancing/speed_tracker_base.h
 * Speeds of upstreams, learned from long-term latencies.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

namespace chicoryhead {

/** Times and thresholds for learned speeds. */
struct speed_settings
{
    /// Samples in the moving average. Averages of 16 samples of equal upstreams vary by about a
    /// fifth; the shorter average of latency_tracker varies by a factor of 1.5.
    unsigned averagedSamples = 16;
    /// Samples that an upstream needs before it has a speed.
    unsigned minSamples = 8;
    /// An average without new samples is discarded after this time.
    monotonic_time maxSampleAge = std::chrono::seconds(30);
    /// Fraction of a service's upstreams with an average that must have minSamples for its median
    /// to be used; the first ones to have them are few, and may all be fast or slow.
    double minMeasuredFraction = 0.25;
    /// Interval between updates of a service's median; each scans all its upstreams.
    monotonic_time medianInterval = std::chrono::milliseconds(500);
    /// Speeds from minDistinctSpeed to maxDistinctSpeed count as 1, because the averages of equal
    /// upstreams differ by that much.
    double minDistinctSpeed = 0.8;
    double maxDistinctSpeed = 1.25;
    /// Limits of the speed. An upstream that rejects requests at once looks fast, and gets at most
    /// maxSpeed times its share.
    double minSpeed = 0.25;
    double maxSpeed = 4;
};

/**
 * Learns the speed of each upstream: the median latency of its service divided by its own. Under
 * load latencies contain the queueing time, so a speed follows the expected wait.
 */
class speed_tracker : public upstream_listener
{
public:
    explicit speed_tracker(const upstream_directory &directory, speed_settings settings = {})
        : m_directory(directory), m_settings(settings)
    {
    }

    /** Adds a sample of this instance or of a peer. */
    void addSample(upstream_id upstream, monotonic_time latency, monotonic_time now);

    void forget(upstream_id upstream) override { m_averages.erase(upstream); }

    /** Speed within the limits; 1 if it is unknown or too close to 1 to be distinct. */
    double speedOf(upstream_id upstream, monotonic_time now) const;

    /** Long-term average latency of an upstream; 0 without recent samples. */
    monotonic_time averageLatencyOf(upstream_id upstream, monotonic_time now) const;

private:
    /** Moving average of one upstream. */
    struct latency_average
    {
        double latency = 0;       ///< in microseconds, at least 1 after the first sample
        unsigned sampleCount = 0; ///< not above averagedSamples
        double speed = 1;         ///< within the limits; relative to the median when it was set
        monotonic_time updatedAt {0};
    };

    /** Median latency of one service. */
    struct service_median
    {
        double latency = 0; ///< in microseconds; 0 if no upstream has enough samples
        monotonic_time nextUpdate {0};
    };

    bool isExpired(const latency_average &average, monotonic_time now) const
    {
        return now - average.updatedAt > m_settings.maxSampleAge;
    }

    void updateMedian(const std::string &service, service_median &median, monotonic_time now);
    void updateSpeed(latency_average &average, const service_median &median) const;

    const upstream_directory &m_directory;
    speed_settings m_settings;
    std::unordered_map<upstream_id, latency_average> m_averages;
    std::map<std::string, service_median> m_medians; ///< by service
};

} // namespace chicoryhead
