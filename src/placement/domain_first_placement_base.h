/**
 * @file placement/domain_first_placement_base.h
 * Upstream selection that prefers the local failure domain.
 */

#pragma once

#include "balancing/expected_wait_weight_base.h"
#include "balancing/speed_tracker_base.h"
#include "connection_limit_base.h"
#include "latency_tracker_base.h"
#include "placement_base.h"
#include "placement_rule_base.h"
#include "placement_trace_type.h"
#include "placement_type.h"
#include "policy/traffic_policy_type.h"
#include "suspicion_base.h"
#include "warmup_limit_base.h"
#include "weighted_round_robin_base.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicoryhead {

/**
 * Smooth weighted round robin over the upstreams of the local failure domain, and over those of
 * remote domains if the local one has none that answers or too little capacity. A flow that stays
 * in its domain survives when the domain is partitioned off, and its packets do not cross domains.
 */
class domain_first_placement : public flow_placement
{
public:
    domain_first_placement(const upstream_directory &directory, instance_locality locality,
                           placement_settings settings = {});
    domain_first_placement(const domain_first_placement &) = delete;
    domain_first_placement &operator=(const domain_first_placement &) = delete;

    std::optional<upstream_id> choose(const std::string &service,
                                      std::span<const upstream_id> tried,
                                      monotonic_time now) override;
    std::optional<upstream_id> chooseUnsuspected(const std::string &service,
                                                 std::span<const upstream_id> tried,
                                                 monotonic_time now) override;
    void setFlowCount(const flow_count *counts) override;
    bool hasReachedConnectionLimit(const std::string &service) const override;
    bool isLocal(upstream_id upstream) const override;
    bool hasUnsuspected(const std::string &service, monotonic_time now) const override;
    bool recordConnectFailure(upstream_id upstream, monotonic_time now) override;
    bool recordConnectSuccess(upstream_id upstream) override;
    bool recordUnansweredRequest(upstream_id upstream, monotonic_time age,
                                 monotonic_time now) override;
    void recordLatency(upstream_id upstream, monotonic_time latency, monotonic_time now) override;
    void forget(upstream_id upstream) override;
    void markSuspected(upstream_id upstream, bool isDead, monotonic_time now) override;
    bool isUnreliable(upstream_id upstream, monotonic_time now) const override;
    std::size_t countSuspected(monotonic_time now) const override;

    /**
     * Sets the index of this instance among those of its domain. All instances go through the
     * upstreams in the same order and start at equally spaced positions, so that the first flows
     * after a start of the whole fleet are spread evenly, although no instance knows of the flows
     * that others place.
     * @param index from 0 to count - 1.
     */
    void setInstanceIndex(std::size_t index, std::size_t count);

    /**
     * Limits new flows to upstreams that are warming up.
     * @param rates flows per second from all instances together, by service.
     * @param instanceCount number of instances of all domains, this one included.
     */
    void setWarmupLimits(std::map<std::string, double> rates, std::size_t instanceCount);

    /** Turns selection by expected wait on or off; learned speeds are discarded on a change. */
    void setBalancingPolicy(const balancing_policy &policy);

    /**
     * Explains what choose() would return now for a flow that no upstream was tried for. Places
     * nothing and changes no credit, so that the next flow gets what it would have got anyway.
     */
    placement_trace trace(const std::string &service, monotonic_time now) const;

    /** Sets the connection limits of upstreams, which apply once setFlowCount() was called. */
    void setConnectionLimits(connection_limits limits);

    /** Whether an upstream is avoided because it did not answer. */
    bool isSuspected(upstream_id upstream, monotonic_time now) const;

    /** Moving average of an upstream's latency; 0 without recent samples. */
    monotonic_time averageLatencyOf(upstream_id upstream, monotonic_time now) const;

private:
    std::optional<upstream_id> selectFrom(const tiered_upstreams &tiers, const std::string &service,
                                          monotonic_time now);
    bool isLimitedByConnections(const std::string &service, monotonic_time now) const;
    tiered_upstreams groupByTier(std::span<const upstream_id> upstreams,
                                 std::span<const upstream_id> tried, monotonic_time now) const;
    upstream_tier tierOf(const upstream_record &record, std::span<const upstream_id> tried,
                         monotonic_time now) const;
    double spilledShare(const std::string &service, const tiered_upstreams &tiers, double median,
                        monotonic_time now) const;
    bool spillsOver(const std::string &service, const tiered_upstreams &tiers, double median,
                    monotonic_time now);
    using weight_rules = std::vector<const weight_rule *>; ///< the factors of all are multiplied

    double weightOf(upstream_id upstream, const weight_rules &rules, double median,
                    monotonic_time now) const;
    double capacityOf(std::span<const upstream_id> upstreams, double median,
                      monotonic_time now) const;

    const upstream_directory &m_directory;
    instance_locality m_locality;
    placement_settings m_settings;
    upstream_suspicion m_suspicion;
    path_suspicion m_pathSuspicion;
    warmup_limit m_warmupLimit;
    connection_limit m_connectionLimit;
    latency_tracker m_latencies;
    weighted_round_robin m_roundRobin;
    std::vector<const tier_rule *> m_tierRules; ///< the least preferred tier of all rules applies
    std::vector<std::unique_ptr<weight_rule>> m_ownedWeightRules; ///< in use by the lists below
    /// Weights that capacities of domains are computed from. They don't contain speeds: a domain
    /// whose upstreams are all slow spills over because of its latency, which would then count
    /// twice.
    weight_rules m_capacityRules;
    weight_rules m_selectionRules;         ///< weights of the candidates in the round robin
    std::optional<speed_tracker> m_speeds; ///< empty if the policy is off
    std::optional<expected_wait_weight> m_expectedWaitWeight; ///< present if m_speeds is
    std::vector<std::unique_ptr<local_share_rule>> m_shareRules;
    /// By service: accumulated fraction of a flow to spill over; at 1 the next flow goes to a
    /// remote domain.
    std::map<std::string, double> m_spilloverCredit;
};

} // namespace chicoryhead
