/**
 * @file placement/latency_tracker_base.h
 * Recent latencies of upstreams, and the best latency of each service.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace chicoryhead {

/** Moving averages of latencies by upstream, in microseconds. */
class latency_tracker
{
public:
    latency_tracker(const upstream_directory &directory, const placement_settings &settings)
        : m_directory(directory), m_settings(settings)
    {
    }

    void addSample(upstream_id upstream, monotonic_time latency, monotonic_time now);

    /**
     * A request was unanswered for the time `age`, so its latency is at least that.
     * @return whether the age is above the average; it is ignored otherwise.
     */
    bool addLowerBound(upstream_id upstream, monotonic_time age, monotonic_time now);

    void forget(upstream_id upstream) { m_averages.erase(upstream); }

    /** Moving average of an upstream; 0 without recent samples. */
    monotonic_time averageLatencyOf(upstream_id upstream, monotonic_time now) const;

    /** Ratio of an upstream's average to a median; 0 if there are too few samples. */
    double latencyRatio(double median, upstream_id upstream, monotonic_time now) const;

    /** Median of the upstreams with enough recent samples; 0 if there are none. */
    double median(std::span<const upstream_id> upstreams, monotonic_time now) const;

    /** Median as above; 0 if fewer upstreams than minMeasuredFraction have enough samples. */
    double representativeMedian(std::span<const upstream_id> upstreams, monotonic_time now) const;

    /** Lowest median latency of a service in any one domain; 0 if unknown. */
    double bestLatencyOf(const std::string &service) const;

private:
    /** Moving average of one upstream. */
    struct latency_average
    {
        double latency = 0;
        unsigned sampleCount = 0; ///< samples in the average
        monotonic_time updatedAt {0};
    };

    /** Best latency of one service. */
    struct best_latency
    {
        double latency = 0; ///< 0 if unknown
        monotonic_time updatedAt {0};
        monotonic_time nextCheck {0};
    };

    bool hasEnoughSamples(const latency_average &average, monotonic_time now) const;
    void updateBestLatency(const upstream_record &measured, monotonic_time now);

    const upstream_directory &m_directory;
    const placement_settings &m_settings;
    std::unordered_map<upstream_id, latency_average> m_averages;
    std::map<std::string, best_latency> m_bestLatencies; ///< by service
};

/** Reduces the weight of upstreams that are slower than the others of their service. */
class slow_upstream_weight : public weight_rule
{
public:
    slow_upstream_weight(const latency_tracker &latencies, const placement_settings &settings)
        : m_latencies(latencies), m_settings(settings)
    {
    }

    double factorOf(const upstream_record &record, double median,
                    monotonic_time now) const override;

private:
    const latency_tracker &m_latencies;
    const placement_settings &m_settings;
};

} // namespace chicoryhead
