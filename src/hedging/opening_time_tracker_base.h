/**
 * @file opening_time_tracker_base.h
 * Times that flows take to open, and the hedging delay that follows from them.
 */

#pragma once

#include "core/core_type.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chicoryhead {

/**
 * Histogram of recent opening times: from the opening packet to the first packet of the open flow.
 * Flows that were hedged count as well; without them the percentile would fall with each hedge.
 */
class opening_time_tracker
{
public:
    /// Share of openings that are faster than the hedging delay, in percent.
    static constexpr std::size_t delayPercentile = 95;
    static constexpr std::size_t minSamples = 20; ///< the fewest that have a 95th percentile
    static constexpr std::size_t maxSamples = 256;
    static constexpr monotonic_time initialDelay = std::chrono::milliseconds(80);
    /// Without a lower limit the delay would be some milliseconds, and short pauses of an instance
    /// or upstream would use up the budget.
    static constexpr monotonic_time minDelay = std::chrono::milliseconds(40);
    /// Callers send a copy after 200 ms, so a later hedge gains little.
    static constexpr monotonic_time maxDelay = std::chrono::milliseconds(150);

    /** Records the opening time of a flow; replaces the oldest of maxSamples. */
    void add(monotonic_time openingTime)
    {
        const auto bucket = static_cast<std::uint8_t>(
            std::clamp(openingTime / bucketWidth, monotonic_time::rep {0}, lastBucket));
        if (m_sampleCount == maxSamples)
            --m_counts.at(m_samples.at(m_next));
        else
            ++m_sampleCount;
        m_samples.at(m_next) = bucket;
        ++m_counts.at(bucket);
        m_next = (m_next + 1) % maxSamples;
    }

    /** Time after which an opening packet without progress is hedged. */
    monotonic_time delay() const
    {
        if (m_sampleCount < minSamples)
            return initialDelay;
        const std::size_t rank = (m_sampleCount * delayPercentile + 99) / 100;
        std::size_t counted = 0;
        monotonic_time upperBound {0};
        for (const std::uint16_t count : m_counts) {
            counted += count;
            upperBound += bucketWidth;
            if (counted >= rank)
                break;
        }
        return std::clamp(upperBound, minDelay, maxDelay);
    }

private:
    static constexpr monotonic_time bucketWidth = std::chrono::milliseconds(1);
    static constexpr monotonic_time::rep lastBucket = maxDelay / bucketWidth; ///< and longer times

    std::array<std::uint8_t, maxSamples> m_samples {};     ///< buckets, in a ring
    std::array<std::uint16_t, lastBucket + 1> m_counts {}; ///< of m_samples, by bucket
    std::size_t m_sampleCount = 0;                         ///< sum of m_counts
    std::size_t m_next = 0;                                ///< position of the next sample
};

} // namespace chicoryhead
