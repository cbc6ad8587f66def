/**
 * @file placement_base.h
 * Placement policies: which upstream a new flow goes to.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "limits_base.h"
#include "steering/steering_base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicoryhead {

/** Baseline: every active upstream equally likely, by the flow's hash. */
class uniform_placement : public placement_policy
{
public:
    upstream_id choose(const service_config &service, const slot_entry &slot,
                       flow_hash hash) override;
    bool isDeflected(const service_config &service, upstream_id upstream) const override;
    bool wasDeflected(upstream_id upstream) const override;
    bool admit(const service_config &service) override;
};

/** Baseline: weighted rendezvous hashing over the active upstreams. */
class weighted_hash_placement : public uniform_placement
{
public:
    upstream_id choose(const service_config &service, const slot_entry &slot,
                       flow_hash hash) override;
};

/** Times and thresholds of load-aware placement. */
struct placement_settings
{
    /// Time after which every instance knows of a deflection.
    monotonic_time deflectionDelay = std::chrono::milliseconds(2500);
    monotonic_time rampTime = std::chrono::seconds(30); ///< from rampStart to the full weight
    double rampStart = 0.1;                             ///< share of weight of a cold upstream
    double reopenShare = 0.5;   ///< share of the former weight that a reopened upstream gets
    double carefulShare = 0.8;  ///< part of the last overloaded share that is reached quickly
    double carefulSlope = 0.25; ///< slope above it, as a part of the slope below
    double maxCeiling = 0.99;   ///< an upstream overloaded at its full share is ramped slowly too
    double panicShare = 0.5;    ///< deflected weight above which deflection is ignored
    monotonic_time placedMemory = std::chrono::seconds(1); ///< decay of flows placed
    /// Time for which the weights in a service are kept; far shorter than any ramp or hold-off.
    monotonic_time viewLifetime = std::chrono::milliseconds(10);
    monotonic_time freshness = std::chrono::seconds(3); ///< age at which a report is ignored
    /// Largest factor by which the last report changes an estimate; 1 for none. Only the probers
    /// of an upstream have its reports, and one sample of a few slots is mostly noise
    /// (docs/balance-rounds.md, round 13), so reports act through conditions alone.
    double maxLoadFactor = 1;
    /// The holder, which needs no record, is preferred up to this multiple of the other's estimate;
    /// 0 for no preference (docs/balance-rounds.md, round 24).
    double holderPreference = 0;
    double fullShare = 0.98; ///< share of max_flows at which an upstream has no room
};

/**
 * Places new flows by estimated load.
 *
 * In a service whose slots are all tracked, every new flow is placed by load. Otherwise the slots
 * of the table already carry each upstream's share, so a new flow stays with its slot's `next`
 * except for the part that a deflected or ramping upstream gives up.
 */
class load_aware_placement : public placement_policy
{
public:
    load_aware_placement(const clock_source &clock, const blackboard &board, flow_limiter &limiter,
                         placement_settings settings = {});

    upstream_id choose(const service_config &service, const slot_entry &slot,
                       flow_hash hash) override;
    bool isDeflected(const service_config &service, upstream_id upstream) const override;
    bool wasDeflected(upstream_id upstream) const override;
    bool admit(const service_config &service) override;

    /** Share of an upstream's weight that is in use now, between 0 and 1. */
    double rampShare(upstream_id upstream) const;

private:
    /** What is remembered about one upstream. */
    struct record
    {
        double placed = 0; ///< flows placed here, decayed
        monotonic_time placedAt {0};
        double load = 0; ///< smoothed reported load
        monotonic_time loadAt {0};
        std::uint32_t incarnation = 0;
        double share = 1;   ///< ramp share at shareAt
        double ceiling = 1; ///< share at which it was overloaded last; 1 for never
        monotonic_time shareAt {0};
        bool isOpen = true; ///< condition when the share was last changed
    };

    /** One upstream that accepts new flows. */
    struct option
    {
        const upstream_config *upstream = nullptr;
        record *state = nullptr; ///< in m_records, whose elements keep their addresses
        double weight = 0;       ///< effective weight
    };

    /** What choices in one service have in common; kept for viewLifetime. */
    struct service_view
    {
        const service_config *config = nullptr;
        config_version version = 0;
        std::uint64_t membersRevision = 0;
        monotonic_time builtAt {0};
        bool isFullyTracked = false;
        std::vector<option> options;
        double keptShare = 1; ///< share of flows that stay in the own domain
        std::vector<std::pair<domain_id, double>> spill; ///< room of other domains
        double spillTotal = 0;                           ///< sum over spill
    };

    /** Which deflected upstreams are treated as open. */
    enum class panic_scope : std::uint8_t { None, Reachable, All };

    const service_view &viewOf(const service_config &service);
    void dropRemoved();
    void updateRecords(const service_config &service);
    void updateRecord(const upstream_config &upstream, record &entry, monotonic_time now);
    bool isAccepting(const upstream_config &upstream, panic_scope panic) const;
    panic_scope panicOf(const service_config &service) const;
    static bool isExempt(const upstream_state &state, panic_scope panic);
    double effectiveWeight(const upstream_config &upstream) const;
    void countMembers();
    void shareDomains(service_view &view);
    domain_id chooseDomain(const service_view &view, flow_hash hash) const;
    double estimate(const option &item) const;
    const option *chooseOfTwo(const service_view &view, flow_hash hash, upstream_id excluded) const;
    void notePlaced(record &entry) const;
    double decayedPlaced(const record &entry, monotonic_time now) const;

    const clock_source &m_clock;
    const blackboard &m_board;
    flow_limiter &m_limiter;
    placement_settings m_settings;
    std::unordered_map<upstream_id, record> m_records;
    std::map<service_id, service_view> m_views;
    std::map<domain_id, double> m_readyInDomain; ///< ready members at m_membersRevision
    double m_ready = 0;                          ///< sum of m_readyInDomain
    std::uint64_t m_membersRevision = 0;
    config_version m_firstVersion = 0; ///< first version seen; its upstreams are not cold
    double m_meanLoad = 0;             ///< mean fresh reported load of the current service
};

} // namespace chicoryhead
