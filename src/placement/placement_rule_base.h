/**
 * @file placement/placement_rule_base.h
 * Rules that a choice of upstreams is made of. A placement without one of them is valid, so that
 * each can be measured alone.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "placement_type.h"

#include <span>
#include <string>

namespace chicoryhead {

/** Tells whether an upstream that takes new flows is a worse choice than its domain makes it. */
class tier_rule
{
public:
    virtual ~tier_rule() = default;

    /** Group of an upstream; a value below `defaultTier` changes nothing. */
    virtual upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                                 monotonic_time now) const = 0;
};

/** Changes the share of new flows that an upstream gets. */
class weight_rule
{
public:
    virtual ~weight_rule() = default;

    /**
     * Factor for the weight of an upstream.
     * @param median latency of the service's upstreams in microseconds; 0 if unknown.
     */
    virtual double factorOf(const upstream_record &record, double median,
                            monotonic_time now) const = 0;
};

/** Upstreams of the own domain and of the others that a service has, without worse groups. */
struct domain_candidates
{
    const std::string &service;
    std::span<const upstream_id> local;
    std::span<const upstream_id> remote;
    double localCapacity = 0;  ///< sum of weights
    double remoteCapacity = 0; ///< sum of weights
};

/** Tells which part of new flows stays in the own domain. */
class local_share_rule
{
public:
    virtual ~local_share_rule() = default;

    /** Share from 0 to 1; those of all rules are multiplied. */
    virtual double localShare(const domain_candidates &candidates, monotonic_time now) const = 0;
};

} // namespace chicoryhead
