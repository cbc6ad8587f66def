/**
 * @file traffic_policy_type.h
 * The operators' policy for load and for slow answers. Every part is off unless the policy turns it
 * on.
 */

#pragma once

namespace chicoryhead {

/** Admission control of new flows. */
struct admission_policy
{
    bool isEnabled = false;

    bool operator==(const admission_policy &) const = default;
};

/** Selection of upstreams by their expected wait. */
struct balancing_policy
{
    bool usesExpectedWait = false;

    bool operator==(const balancing_policy &) const = default;
};

/** Repeated work that is accepted in order to shorten the slowest answers. */
struct hedging_policy
{
    /// Extra opening packets and repeated requests, in percent of the requests that may be
    /// repeated; 0 turns hedging off.
    double budgetPercent = 0;

    bool isEnabled() const { return budgetPercent > 0; }
    bool operator==(const hedging_policy &) const = default;
};

/** Policy of one deployment. */
struct traffic_policy
{
    admission_policy admission;
    balancing_policy balancing;
    hedging_policy hedging;

    bool operator==(const traffic_policy &) const = default;
};

} // namespace chicoryhead
