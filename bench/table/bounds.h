/**
 * @file bounds.h
 * Regression bounds of the benchmarks. Each comes from a target of docs/design.md, named beside it.
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

/// Target: a decision takes at most 1.5 times the baseline's.
inline constexpr double decisionRatio = 1.5;
/// Target: at least 0.7 of the packets of a bare loop, hence at most 1 / 0.7 of its time.
inline constexpr double forwardingRatio = 1 / 0.7;
/// Target: at most 1.8% of a core, in nanoseconds a second.
inline constexpr double controlNanoseconds = 18e6;
/// Target: control state of at most 32 MB.
inline constexpr double controlMegabytes = 32;
/// Target: control traffic of at most 2 KB/s.
inline constexpr double controlBytes = 2048;
/// Target: at most 64 bytes of state per held flow.
inline constexpr double flowBytes = 64;

inline constexpr const char *largeControl = "control/second/5100/59000/9200/iterations:60";

inline const std::vector<bound> bounds {
    {"decision of a known flow, untracked slot", bound_kind::TimeRatio,
     "decide/untracked_hit/flows:100000/members:15", "decide/plain_hit/flows:100000/members:15",
     "ratio", decisionRatio},
    {"decision of a known flow, tracked slot", bound_kind::TimeRatio,
     "decide/tracked_hit/flows:100000/members:15", "decide/plain_hit/flows:100000/members:15",
     "ratio", decisionRatio},
    {"decision of a known flow, tracked slot, 10^6 flows", bound_kind::TimeRatio,
     "decide/tracked_hit/flows:1000000/members:5100", "decide/plain_hit/flows:1000000/members:5100",
     "ratio", decisionRatio},
    {"decision of an unknown flow, tracked slot", bound_kind::TimeRatio,
     "decide/tracked_miss/flows:100000/members:15", "decide/plain_miss/flows:100000/members:15",
     "ratio", decisionRatio},
    {"packet through an instance, against a bare loop", bound_kind::TimeRatio,
     "forwarding/instance/manual_time", "forwarding/bare_loop/manual_time", "ratio",
     forwardingRatio},
    {"state per flow", bound_kind::Counter, "insertFlows/1000000", "bytes_per_flow", "bytes",
     flowBytes},
    {"control CPU per second, 5,100 members", bound_kind::Time, largeControl, "", "ns",
     controlNanoseconds},
    {"control traffic, 5,100 members", bound_kind::Counter, largeControl,
     "control_bytes_per_second", "B/s", controlBytes},
    {"control memory, 59,000 upstreams", bound_kind::Counter, largeControl, "heap_mb", "MB",
     controlMegabytes},
};

} // namespace chicoryhead::bench
