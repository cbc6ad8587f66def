/**
 * @file placement/warmup_limit_base.h
 * Limits the rate of new flows to upstreams that are warming up.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace chicoryhead {

/**
 * Keeps the new flows that all instances together send to a cold upstream below the rate that its
 * service configures. Instances cannot coordinate each flow, so each issues itself permits for an
 * equal share of the rate. A permit expires soon, so that unused ones do not add up to a burst.
 */
class warmup_limit : public tier_rule
{
public:
    warmup_limit(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    /**
     * @param rates new flows per second that a cold upstream takes, by service; services that are
     * not in it have no limit.
     * @param instanceCount number of instances that share each rate, this one included.
     */
    void setLimits(std::map<std::string, double> rates, std::size_t instanceCount);

    /** Records that a new flow was placed on an upstream. */
    void recordPlacement(const upstream_record &record, monotonic_time now);

    void forget(upstream_id upstream) { m_lastUsed.erase(upstream); }

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

private:
    double rateOf(const upstream_record &record, monotonic_time now) const;
    std::int64_t issued(const upstream_record &record, double rate, monotonic_time at) const;
    std::int64_t lastUnusable(const upstream_record &record, double rate, monotonic_time now) const;

    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::map<std::string, double> m_rates;
    std::size_t m_instanceCount = 1;
    std::unordered_map<upstream_id, std::int64_t> m_lastUsed; ///< number of the last used permit
};

} // namespace chicoryhead
