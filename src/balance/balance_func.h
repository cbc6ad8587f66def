/**
 * @file balance_func.h
 * Factory functions of the placement policies.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "limits_base.h"
#include "steering/steering_base.h"

#include <memory>

namespace chicoryhead {

/**
 * Makes the policy that places by load. The referenced objects outlive it.
 * @param limiter admits new flows.
 */
std::unique_ptr<placement_policy>
makeLoadAwarePlacement(const clock_source &clock, const blackboard &board, flow_limiter &limiter);

/** Makes the baseline that chooses uniformly by the flow's hash, without limits and health. */
std::unique_ptr<placement_policy> makeUniformPlacement();

/** Makes the baseline of weighted rendezvous hashing, without limits and health. */
std::unique_ptr<placement_policy> makeWeightedHashPlacement();

} // namespace chicoryhead
