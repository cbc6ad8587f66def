/**
 * @file latency_histogram_base.h
 * Latency histograms. Boost.Histogram is hidden, because it compiles slowly.
 */

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace chicoryhead {

/** Counts durations in buckets with fixed bounds; does not allocate after it was made. */
class latency_histogram
{
public:
    /** @param bounds upper bounds of the buckets, inclusive, ascending; one more takes the rest. */
    explicit latency_histogram(std::span<const std::chrono::nanoseconds> bounds);
    ~latency_histogram();
    latency_histogram(latency_histogram &&other) noexcept;
    latency_histogram &operator=(latency_histogram &&other) noexcept;

    /** Adds a duration; a negative one counts as 0. */
    void record(std::chrono::nanoseconds duration);

    std::span<const std::chrono::nanoseconds> bounds() const { return m_bounds; }

    /** Durations in each bucket, not cumulative; one more element than bounds(). */
    std::vector<std::uint64_t> counts() const;

    /** Sum of all durations. */
    std::chrono::nanoseconds sum() const { return m_sum; }

private:
    struct storage;

    std::span<const std::chrono::nanoseconds> m_bounds; ///< in a constant table
    std::unique_ptr<storage> m_storage;                 ///< null only after a move
    std::chrono::nanoseconds m_sum {0};
};

} // namespace chicoryhead
