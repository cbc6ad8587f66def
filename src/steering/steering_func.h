/**
 * @file steering_func.h
 * Construction of the steering policies.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "steering_base.h"

#include <cstddef>
#include <memory>

namespace chicoryhead {

/** Settings of a steering policy. */
struct steering_settings
{
    std::size_t maxFlows = 262'144; ///< bound of the local flow table, and of the records
};

/**
 * Policy with slot tables, recorded exceptions and homes. The references must outlive it.
 * It writes the flow counters of the blackboard: flowsOpened, flowsRefused, exceptionsRecorded,
 * packetsUnplaced and repliesMismatched.
 */
std::unique_ptr<steering_policy> makeTrackedSlotPolicy(blackboard &board, const clock_source &clock,
                                                       placement_policy &placement,
                                                       handover_sink &handover,
                                                       const steering_settings &settings);

/**
 * Baseline: weighted rendezvous hashing over the upstreams that accept new flows, with a local flow
 * table and no state shared between instances.
 */
std::unique_ptr<steering_policy> makePlainHashPolicy(blackboard &board, const clock_source &clock,
                                                     placement_policy &placement,
                                                     handover_sink &handover,
                                                     const steering_settings &settings);

} // namespace chicoryhead
