/**
 * @file experiment_balance_model.h
 * Virtual-time model of a deployment under load: callers, instances and upstreams.
 *
 * A flow carries one request. Packets are not modelled; their delays, relays and losses are.
 */

#pragma once

#include "balance/balance_func.h"
#include "balance/health_base.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace chicoryhead::experiment {

/** What happens at 10 s and, unless noted, ends at 40 s. */
enum class fault {
    None,
    HalfSpeed,      ///< one upstream takes twice the time for each request
    Cold,           ///< one upstream restarts and takes three times the time at first
    Shedding,       ///< three upstreams refuse all new flows
    LateReports,    ///< reports arrive 5 s late
    FrozenReport,   ///< one upstream repeats an idle report
    NoReports,      ///< no probe is answered
    Burst,          ///< five times the new flows, for 5 s
    Draining,       ///< half of the upstreams are marked as leaving
    CutOff,         ///< one failure domain reaches none of the others
    RollingRestart, ///< the instances restart one by one, 2 s apart
};

/** One case of the experiment. */
struct experiment_case
{
    std::string name;
    fault kind = fault::None;
    double load = 0.7; ///< offered load as a share of all slots
};

/** Placement under test. */
enum class policy {
    HolderMode,  ///< load-aware; only slots of deflected or leaving holders are tracked
    TrackedMode, ///< load-aware; all slots are tracked
    Uniform,
    WeightedHash,
};

/** Figures of one run. */
struct run_figures
{
    double peakOverMean = 0;
    double p99OverMean = 0;
    double medianMs = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double refusedPercent = 0;         ///< refusals per 100 new flows
    double failedPercent = 0;          ///< flows without an answer after all attempts
    double refusedWithRoomPercent = 0; ///< refusals per 100 new flows while a slot was free
    double retriesPerFlow = 0;         ///< callers' further attempts per new flow
    double amplification = 0;          ///< SYNs that reached upstreams per flow that did
    double exceptionsPerSecond = 0;
    double relaysPerFlow = 0;
    double controlBytesPerSecond = 0; ///< per instance: notices and probes
};

/** Runs one case with one policy. @param slots slots per upstream. */
run_figures runCase(const experiment_case &what, policy which, std::uint16_t slots,
                    std::uint64_t seed);

} // namespace chicoryhead::experiment
