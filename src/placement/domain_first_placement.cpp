/**
 * @file placement/domain_first_placement.cpp
 * Combines the tier, weight and local-share rules.
 */

#include "domain_first_placement_base.h"

#include "local_share_base.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryhead {

namespace {

/** Reduces the weight of upstreams that are still warming up after their start. */
class warmup_weight : public weight_rule
{
public:
    explicit warmup_weight(const placement_settings &settings) : m_settings(settings) { }

    double factorOf(const upstream_record &record, double /*median*/,
                    monotonic_time now) const override
    {
        return record.warmupEndsAt > now ? m_settings.warmupFactor : 1;
    }

private:
    const placement_settings &m_settings;
};

} // namespace

double hashToUnitInterval(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

domain_first_placement::domain_first_placement(const upstream_directory &directory,
                                               instance_locality locality,
                                               placement_settings settings)
    : m_directory(directory)
    , m_locality(std::move(locality))
    , m_settings(settings)
    , m_suspicion(directory, m_locality, m_settings)
    , m_pathSuspicion(m_locality, m_settings)
    , m_warmupLimit(m_locality, m_settings)
    , m_connectionLimit(m_locality, m_settings)
    , m_latencies(directory, m_settings)
    , m_roundRobin(directory, hashToUnitInterval(mixHash(m_locality.seed, 0)))
{
    m_tierRules.push_back(&m_pathSuspicion);
    m_tierRules.push_back(&m_suspicion);
    m_tierRules.push_back(&m_warmupLimit);
    m_tierRules.push_back(&m_connectionLimit);
    m_weightRules.push_back(std::make_unique<warmup_weight>(m_settings));
    m_weightRules.push_back(std::make_unique<slow_upstream_weight>(m_latencies, m_settings));
    m_shareRules.push_back(std::make_unique<capacity_share>(m_locality, m_settings));
    m_shareRules.push_back(std::make_unique<latency_share>(m_latencies, m_settings));
}

void domain_first_placement::setInstanceIndex(std::size_t index, std::size_t count)
{
    assert(index < count);
    m_roundRobin.setStartOffset(static_cast<double>(index) / static_cast<double>(count));
}

void domain_first_placement::setWarmupLimits(std::map<std::string, double> rates,
                                             std::size_t instanceCount)
{
    m_warmupLimit.setLimits(std::move(rates), std::max<std::size_t>(instanceCount, 1));
}

void domain_first_placement::setConnectionLimits(connection_limits limits)
{
    m_connectionLimit.setLimits(std::move(limits));
}

void domain_first_placement::setFlowCount(const flow_count *counts)
{
    m_connectionLimit.setFlowCount(counts);
}

bool domain_first_placement::hasReachedConnectionLimit(const std::string &service) const
{
    const auto upstreams = m_directory.findByService(service);
    return std::any_of(upstreams.begin(), upstreams.end(), [this](upstream_id id) {
        const upstream_record &record = *m_directory.find(id);
        return takesNewFlows(record) && m_connectionLimit.isReached(record);
    });
}

std::optional<upstream_id> domain_first_placement::choose(const std::string &service,
                                                          std::span<const upstream_id> tried,
                                                          monotonic_time now)
{
    const auto upstreams = m_directory.findByService(service);
    const auto tiers = groupByTier(upstreams, tried, now);
    const auto bestTier = std::find_if(tiers.begin(), tiers.end(),
                                       [](const auto &candidates) { return !candidates.empty(); });
    if (bestTier == tiers.end())
        return std::nullopt;
    const double median = m_latencies.median(upstreams, now);
    const bool isSpillover = bestTier == tiers.begin() && spillsOver(service, tiers, median, now);
    const auto &candidates = isSpillover ? tiers.of(upstream_tier::RemoteDomain) : *bestTier;
    const auto chosen = m_roundRobin.selectNext(
        candidates, [&](upstream_id id) { return weightOf(id, median, now); });
    m_warmupLimit.recordPlacement(*m_directory.find(chosen), now);
    return chosen;
}

tiered_upstreams domain_first_placement::groupByTier(std::span<const upstream_id> upstreams,
                                                     std::span<const upstream_id> tried,
                                                     monotonic_time now) const
{
    tiered_upstreams tiers;
    for (const upstream_id id : upstreams) {
        const auto tier = tierOf(*m_directory.find(id), tried, now);
        if (tier != upstream_tier::None)
            tiers.of(tier).push_back(id);
    }
    m_suspicion.limitSuspected(tiers);
    return tiers;
}

upstream_tier domain_first_placement::tierOf(const upstream_record &record,
                                             std::span<const upstream_id> tried,
                                             monotonic_time now) const
{
    if (!takesNewFlows(record))
        return upstream_tier::None;
    if (std::find(tried.begin(), tried.end(), record.id) != tried.end())
        return upstream_tier::Tried;
    auto tier = record.announced.domain == m_locality.domain ? upstream_tier::LocalDomain
                                                             : upstream_tier::RemoteDomain;
    if (record.lifecycle == lifecycle_state::Missing)
        tier = upstream_tier::Missing;
    for (const tier_rule *rule : m_tierRules)
        tier = std::max(tier, rule->tierOf(record, tier, now));
    return tier;
}

bool domain_first_placement::spillsOver(const std::string &service, const tiered_upstreams &tiers,
                                        double median, monotonic_time now)
{
    const auto &local = tiers.of(upstream_tier::LocalDomain);
    const auto &remote = tiers.of(upstream_tier::RemoteDomain);
    if (remote.empty())
        return false;
    const domain_candidates candidates {service, local, remote, capacityOf(local, median, now),
                                        capacityOf(remote, median, now)};
    double localShare = 1;
    for (const auto &rule : m_shareRules)
        localShare *= rule->localShare(candidates, now);
    double &credit = m_spilloverCredit[service];
    credit += 1 - localShare;
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

double domain_first_placement::weightOf(upstream_id upstream, double median,
                                        monotonic_time now) const
{
    const upstream_record &record = *m_directory.find(upstream);
    double weight = record.announced.slots;
    for (const auto &rule : m_weightRules)
        weight *= rule->factorOf(record, median, now);
    return weight;
}

double domain_first_placement::capacityOf(std::span<const upstream_id> upstreams, double median,
                                          monotonic_time now) const
{
    double capacity = 0;
    for (const upstream_id id : upstreams)
        capacity += weightOf(id, median, now);
    return capacity;
}

bool domain_first_placement::recordConnectFailure(upstream_id upstream, monotonic_time now)
{
    const auto *record = m_directory.find(upstream);
    if (record != nullptr)
        m_pathSuspicion.recordConnectFailure(record->announced.domain, now);
    return m_suspicion.recordConnectFailure(upstream, now);
}

bool domain_first_placement::recordConnectSuccess(upstream_id upstream)
{
    const auto *record = m_directory.find(upstream);
    if (record != nullptr)
        m_pathSuspicion.recordConnectSuccess(record->announced.domain);
    return m_suspicion.recordConnectSuccess(upstream);
}

bool domain_first_placement::recordUnansweredRequest(upstream_id upstream, monotonic_time age,
                                                     monotonic_time now)
{
    return m_latencies.addLowerBound(upstream, age, now);
}

void domain_first_placement::recordLatency(upstream_id upstream, monotonic_time latency,
                                           monotonic_time now)
{
    m_latencies.addSample(upstream, latency, now);
}

void domain_first_placement::forget(upstream_id upstream)
{
    m_suspicion.forget(upstream);
    m_latencies.forget(upstream);
    m_warmupLimit.forget(upstream);
    m_roundRobin.forget(upstream);
}

void domain_first_placement::markSuspected(upstream_id upstream, bool isDead, monotonic_time now)
{
    m_suspicion.markSuspected(upstream, isDead, now);
}

std::size_t domain_first_placement::countSuspected(monotonic_time now) const
{
    return m_suspicion.count(now);
}

bool domain_first_placement::isSuspected(upstream_id upstream, monotonic_time now) const
{
    return m_suspicion.isSuspected(upstream, now);
}

monotonic_time domain_first_placement::averageLatencyOf(upstream_id upstream,
                                                        monotonic_time now) const
{
    return m_latencies.averageLatencyOf(upstream, now);
}

} // namespace chicoryhead
