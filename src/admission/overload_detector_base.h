/**
 * @file overload_detector_base.h
 * Detects from the latencies of one service's requests that more arrive than it can run.
 */

#pragma once

#include "core/core_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace chicoryhead {

/** Intervals and thresholds of overload detection. */
struct overload_settings
{
    monotonic_time minInterval = std::chrono::milliseconds(100);
    /// An interval with too few samples grows up to this length. It then ends with
    /// minUnanimousSamples; with fewer it is discarded.
    monotonic_time maxInterval = std::chrono::milliseconds(500);
    std::size_t minSamples = 8;
    /// Latest samples that are enough if all are above the threshold. This detects within 0.2 to
    /// 0.3 s that all upstreams became slow at once.
    std::size_t minUnanimousSamples = 4;
    /// A service is overloaded if the queueing delay exceeds this fraction of the time that the
    /// target latency leaves beside the best latency. A request that is rejected after such a wait
    /// leaves its caller time for one more attempt within the target.
    double thresholdFraction = 1.0 / 3;
    /// Below this fraction of the threshold the delay is gone.
    double calmRatio = 0.5;
    /// This many consecutive answers below calmRatio end an overload before the interval is over.
    unsigned calmAnswers = 5;
    /// This many of them suspend refusals until the next answer, as the load may have ended.
    unsigned firstCalmAnswers = 2;
    /// A sample above the threshold that is older than this, or than the length of the last
    /// interval, no longer shows a delay.
    monotonic_time maxDelayAge = std::chrono::milliseconds(250);
    /// Without a sample for this long, what was measured no longer counts.
    monotonic_time maxSilence = std::chrono::seconds(1);
    /// Relative growth of the best latency per second, so that it follows a service that became
    /// slower.
    double bestLatencyGrowth = 0.05;
    /// The same while the delay is above calmRatio. A faster growth would take the queueing delay
    /// of a long overload for the service's normal latency.
    double loadedGrowth = 0.01;
};

/**
 * Compares the median latency of an interval with the threshold. Each sample counts relative to
 * the best latency and the target latency of its own route, so that the routes of a service may
 * have different ones.
 */
class overload_detector
{
public:
    explicit overload_detector(const overload_settings &settings = {}) : m_settings(settings) { }

    /** Records the latency of an answered request. */
    void addAnswer(monotonic_time latency, monotonic_time targetLatency, monotonic_time now);

    /** Records that a request has been in progress for the time `age`. */
    void addInProgress(monotonic_time age, monotonic_time targetLatency, monotonic_time now);

    /**
     * Ends the interval if it is complete.
     * @return the queueing delay relative to the threshold; std::nullopt if it is not complete.
     */
    std::optional<double> endInterval(monotonic_time now);

    /**
     * Whether the last interval was above the threshold, and there is a recent delay.
     */
    bool isOverloaded(monotonic_time now) const;

    /**
     * Whether a sample above the threshold is not older than maxDelayAge and the length of the last
     * interval, and the latest answers are not calm.
     */
    bool hasRecentDelay(monotonic_time now) const;

    /** Whether there was no sample for maxSilence. */
    bool isSilent(monotonic_time now) const { return now - m_lastSampleAt > m_settings.maxSilence; }

    /** Queueing delay in the last interval. */
    monotonic_time queueingDelay() const { return m_result.delay; }

    /** Discards what was measured, but not the best latencies. */
    void discardSamples();

    /** Takes the current latencies for the best ones, as the delay is not caused by the load. */
    void acceptLatencies();

private:
    /** Best latency of a route, from the medians of blocks of its answers, in microseconds. */
    struct baseline
    {
        static constexpr std::size_t blockSize = 8;

        std::array<double, blockSize> block {};
        std::size_t count = 0; ///< of answers in the block
        double best = 0;       ///< 0 if unknown
        double lastMedian = 0;
        monotonic_time updatedAt {0};
    };

    /** One sample, or the median of an interval. */
    struct measurement
    {
        double ratio = 0;         ///< delay relative to the threshold of the route
        monotonic_time delay {0}; ///< never negative
    };

    std::optional<measurement> measure(double latency, monotonic_time targetLatency) const;
    void updateBaseline(baseline &route, double latency, monotonic_time now) const;
    void addSample(const measurement &sample, monotonic_time now);

    overload_settings m_settings;
    std::map<monotonic_time, baseline> m_baselines; ///< by target latency of the route
    std::vector<measurement> m_samples;             ///< of the current interval
    monotonic_time m_intervalStartedAt {0};
    measurement m_result;                ///< of the last complete interval
    monotonic_time m_resultInterval {0}; ///< length of that interval
    monotonic_time m_lastDelayAt {0};    ///< last sample above the threshold
    monotonic_time m_lastSampleAt {0};
    unsigned m_calmAnswers = 0;    ///< consecutive ones
    unsigned m_delayedSamples = 0; ///< consecutive ones above the threshold
};

} // namespace chicoryhead
