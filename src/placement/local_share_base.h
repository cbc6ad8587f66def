/**
 * @file placement/local_share_base.h
 * Which part of new flows stays in the own failure domain.
 */

#pragma once

#include "core/core_type.h"
#include "latency_tracker_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

namespace chicoryhead {

/** Sends flows out of a domain with few slots. */
class capacity_share : public kept_share_rule
{
public:
    capacity_share(const placement_position &position, const placement_limits &limits)
        : m_position(position), m_limits(limits)
    {
    }

    double keptShare(const domain_options &options, monotonic_time now) const override;

private:
    const placement_position &m_position;
    const placement_limits &m_limits;
};

/** Sends flows out of a domain whose upstreams take longer than those of others. */
class crowding_share : public kept_share_rule
{
public:
    crowding_share(const latency_record &latencies, const placement_limits &limits)
        : m_latencies(latencies), m_limits(limits)
    {
    }

    double keptShare(const domain_options &options, monotonic_time now) const override;

private:
    const latency_record &m_latencies;
    const placement_limits &m_limits;
};

} // namespace chicoryhead
