/**
 * @file latency_histogram_base.h
 * Latency histogram. Boost.Histogram stays out of this header because it compiles slowly.
 */

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace chicoryhead {

/** Histogram of durations with fixed bucket bounds; record() does not allocate. */
class latency_histogram
{
public:
    /**
     * @param bounds inclusive upper bounds of the buckets in ascending order; must outlive the
     * histogram. An overflow bucket is added for longer durations.
     */
    explicit latency_histogram(std::span<const std::chrono::nanoseconds> bounds);
    ~latency_histogram();
    latency_histogram(latency_histogram &&other) noexcept;
    latency_histogram &operator=(latency_histogram &&other) noexcept;

    /** Records a duration; a negative one counts as 0. */
    void record(std::chrono::nanoseconds duration);

    std::span<const std::chrono::nanoseconds> bounds() const { return m_bounds; }

    /** Non-cumulative bucket counts; one more element than bounds(), for the overflow bucket. */
    std::vector<std::uint64_t> counts() const;

    /** Sum of all recorded durations. */
    std::chrono::nanoseconds sum() const { return m_sum; }

private:
    struct storage;

    std::span<const std::chrono::nanoseconds> m_bounds; ///< points into a constant table
    std::unique_ptr<storage> m_storage;                 ///< null only in a moved-from object
    std::chrono::nanoseconds m_sum {0};
};

} // namespace chicoryhead
