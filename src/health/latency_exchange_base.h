/**
 * @file latency_exchange_base.h
 * How long upstreams take, from the requests of all instances of a failure domain.
 *
 * At hundreds of instances each one sees a request to an upstream only every few seconds, which is
 * too little to tell a slow upstream from a long request. So instances tell each other what they
 * measured lately, each time to others.
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

/** Bounds of what instances tell each other. */
struct latency_exchange_limits
{
    /// Age of the latencies that are told. Within it an instance tells a third of a domain of 40.
    monotonic_time maxSampleAge = std::chrono::seconds(2);
    /// Latencies in one message; 240 bytes.
    std::size_t maxReports = 40;
    /// Longer ones say nothing more, and fit into a report.
    monotonic_time maxLatency = std::chrono::seconds(60);
};

/** Gives what is measured here and elsewhere to the choice of upstreams. */
class latency_exchange
{
public:
    latency_exchange(const upstream_directory &directory, flow_placement &placement,
                     latency_exchange_limits limits = {})
        : m_directory(directory), m_placement(placement), m_limits(limits)
    {
    }

    /** An upstream answered a request that this instance forwarded. */
    void noteAnswered(upstream_id upstream, monotonic_time latency, monotonic_time now);

    /** A caller gave up a request after some time without an answer. */
    void noteAborted(upstream_id upstream, monotonic_time age, monotonic_time now);

    /** What was measured here lately, the newest first. */
    std::vector<latency_report> recentReports(monotonic_time now) const;

    /** Takes over what another instance of the own domain measured. */
    void merge(const std::vector<latency_report> &reports, monotonic_time now);

private:
    /** One measurement. */
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
