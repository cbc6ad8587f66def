/**
 * @file bounds.h
 * Regression bounds of the benchmarks. Each comes from a stated target, named beside it.
 */

#pragma once

#include <vector>

namespace chicoryhead::bench {

/** What is compared with the limit. */
enum class bound_kind {
    Time,      ///< CPU time per iteration, in nanoseconds
    TimeRatio, ///< CPU time relative to the reference benchmark of the same run
    Counter,   ///< counter of the benchmark, named by the reference
};

/** One bound; the figure must not exceed the limit. */
struct bound
{
    const char *name;
    bound_kind kind;
    const char *benchmark;
    const char *reference;
    const char *unit;
    double limit;
};

inline const std::vector<bound> bounds {};

} // namespace chicoryhead::bench
