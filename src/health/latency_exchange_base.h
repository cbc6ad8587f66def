/**
 * @file latency_exchange_base.h
 * Shares request latencies between the instances of a failure domain.
 *
 * With hundreds of instances, each one sees a request to a given upstream only every few seconds,
 * which is too few samples to distinguish a slow upstream from a long request. So instances send
 * their recent samples to each other, to different peers each time.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "latency_report_type.h"
#include "placement/placement_base.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <vector>

namespace chicoryhead {

/** Limits on the exchanged latency samples. */
struct latency_exchange_limits
{
    /// Older samples are not sent. In this time, an instance sends to a third of the peers in a
    /// failure domain of 40 instances.
    monotonic_time maxSampleAge = std::chrono::seconds(2);
    /// Samples per message; 240 bytes.
    std::size_t maxReports = 40;
    /// Longer latencies are reported as this value: the exact value makes no difference, and it
    /// fits into the 16-bit field of a report.
    monotonic_time maxLatency = std::chrono::seconds(60);
};

/** Passes latency samples of this instance and of its peers to flow placement. */
class latency_exchange
{
public:
    latency_exchange(const upstream_directory &directory, flow_placement &placement,
                     latency_exchange_limits limits = {})
        : m_directory(directory), m_placement(placement), m_limits(limits)
    {
    }

    /** Records the latency of a request that an upstream answered. */
    void noteAnswered(upstream_id upstream, monotonic_time latency, monotonic_time now);

    /**
     * Records that a request is unanswered, or that its caller aborted it.
     * @param age time since the request was forwarded.
     */
    void noteUnanswered(upstream_id upstream, monotonic_time age, monotonic_time now);

    /** Returns the recent samples of this instance, newest first. */
    std::vector<latency_report> recentReports(monotonic_time now) const;

    /** Merges samples from another instance of the own failure domain. */
    void merge(const std::vector<latency_report> &reports, monotonic_time now);

private:
    /** One latency measurement. */
    struct sample
    {
        upstream_id upstream = noUpstream;
        monotonic_time latency {0};
        monotonic_time at {0};
    };

    void addSample(const sample &measured);

    const upstream_directory &m_directory;
    flow_placement &m_placement;
    latency_exchange_limits m_limits;
    std::deque<sample> m_samples; ///< newest first
};

} // namespace chicoryhead
