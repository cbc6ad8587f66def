/**
 * @file placement/placement_rule_base.h
 * Interfaces of the rules that upstream selection consists of. Every rule is optional, so that each
 * can be measured separately.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "placement_type.h"

#include <span>
#include <string>

namespace chicoryhead {

/** Moves an upstream that takes new flows to a less preferred tier than its domain gives it. */
class tier_rule
{
public:
    virtual ~tier_rule() = default;

    /**
     * Tier of an upstream; a value below `defaultTier` has no effect, and None excludes it from
     * this selection.
     */
    virtual upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                                 monotonic_time now) const = 0;
};

/** Scales the share of new flows that an upstream gets. */
class weight_rule
{
public:
    virtual ~weight_rule() = default;

    /**
     * Factor on the weight of an upstream.
     * @param median median latency of the service's upstreams in microseconds; 0 if unknown.
     */
    virtual double factorOf(const upstream_record &record, double median,
                            monotonic_time now) const = 0;
};

/** Upstreams of a service in the two best tiers: those of the local and of remote domains. */
struct domain_candidates
{
    const std::string &service;
    std::span<const upstream_id> local;
    std::span<const upstream_id> remote;
    double localCapacity = 0;  ///< sum of weights
    double remoteCapacity = 0; ///< sum of weights
};

/** Determines the share of new flows that stays in the local domain. */
class local_share_rule
{
public:
    virtual ~local_share_rule() = default;

    /** Share from 0 to 1; the shares of all rules are multiplied. */
    virtual double localShare(const domain_candidates &candidates, monotonic_time now) const = 0;
};

} // namespace chicoryhead
