/**
 * @file placement/local_share_base.h
 * Rules for the share of new flows that stays in the local failure domain.
 */

#pragma once

#include "core/core_type.h"
#include "latency_tracker_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

namespace chicoryhead {

/** Lets flows spill over from a domain with too little capacity. */
class capacity_share : public local_share_rule
{
public:
    capacity_share(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    double localShare(const domain_candidates &candidates, monotonic_time now) const override;

private:
    const instance_locality &m_locality;
    const placement_settings &m_settings;
};

/** Lets flows spill over from a domain whose upstreams have a higher latency than remote ones. */
class latency_share : public local_share_rule
{
public:
    latency_share(const latency_tracker &latencies, const placement_settings &settings)
        : m_latencies(latencies), m_settings(settings)
    {
    }

    double localShare(const domain_candidates &candidates, monotonic_time now) const override;

private:
    const latency_tracker &m_latencies;
    const placement_settings &m_settings;
};

} // namespace chicoryhead
