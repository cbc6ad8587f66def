/**
 * @file placement/connection_limit_base.h
 * Limits the flows that an instance keeps open at an upstream.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "flow_count_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chicoryhead {

/** What the shares of an instance in the connection limits of upstreams follow from. */
struct connection_limits
{
    std::map<std::string, std::uint32_t> maxConnections; ///< of one upstream, by service
    std::map<std::string, std::size_t> instances;        ///< number of them by failure domain

    bool operator==(const connection_limits &) const = default;
};

/**
 * Keeps the flows of all instances together below the connection limit of an upstream, over which
 * it ignores opening packets. Each instance takes an equal share: instances of the upstream's
 * domain share most of the limit, those of other domains a small part. If the share is not an
 * integer, the instance rounds it up at some upstreams and down at others.
 */
class connection_limit : public tier_rule
{
public:
    connection_limit(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    void setLimits(connection_limits limits);

    /** Turns the limit on; null turns it off. The counts must outlive the rule. */
    void setFlowCount(const flow_count *counts) { m_counts = counts; }

    /** Whether this instance has as many flows at an upstream as it may have. */
    bool isReached(const upstream_record &record) const;

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

private:
    double shareOf(const upstream_record &record) const;
    std::size_t instancesIn(const std::string &domain) const;

    const instance_locality &m_locality;
    const placement_settings &m_settings;
    const flow_count *m_counts = nullptr;
    connection_limits m_limits;
    std::size_t m_instanceCount = 0; ///< of all domains
    /// At most the share at any upstream; saves looking up the shares of most upstreams.
    std::uint64_t m_smallestShare = 0;
};

} // namespace chicoryhead
