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
    m_ownedWeightRules.push_back(std::make_unique<warmup_weight>(m_settings));
    m_ownedWeightRules.push_back(std::make_unique<slow_upstream_weight>(m_latencies, m_settings));
    for (const auto &rule : m_ownedWeightRules)
        m_capacityRules.push_back(rule.get());
    m_selectionRules = m_capacityRules;
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

void domain_first_placement::setBalancingPolicy(const balancing_policy &policy)
{
    if (policy.usesExpectedWait == m_speeds.has_value())
        return;
    m_selectionRules = m_capacityRules;
    m_expectedWaitWeight.reset();
    m_speeds.reset();
    if (!policy.usesExpectedWait)
        return;
    m_speeds.emplace(m_directory);
    m_expectedWaitWeight.emplace(*m_speeds, m_latencies, m_settings);
    // The last rule is slow_upstream_weight, which it takes the place of.
    m_selectionRules.back() = &*m_expectedWaitWeight;
}

void domain_first_placement::setConnectionLimits(connection_limits limits)
{
    m_connectionLimit.setLimits(std::move(limits));
}

void domain_first_placement::setFlowCount(const flow_count *counts)
{
    m_connectionLimit.setFlowCount(counts);
}

/// Whether an upstream that is not suspected gets no new flows because of the connection limit.
bool domain_first_placement::isLimitedByConnections(const std::string &service,
                                                    monotonic_time now) const
{
    const auto upstreams = m_directory.findByService(service);
    return std::any_of(upstreams.begin(), upstreams.end(), [&](upstream_id id) {
        const upstream_record &record = *m_directory.find(id);
        return takesNewFlows(record) && !m_suspicion.isSuspected(id, now)
            && m_connectionLimit.isReached(record);
    });
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
    auto tiers = groupByTier(m_directory.findByService(service), tried, now);
    m_suspicion.limitSuspected(tiers);
    // Refusing a flow at once is better than placing it on an upstream that does not answer.
    const bool hasTrusted = !tiers.of(upstream_tier::LocalDomain).empty()
        || !tiers.of(upstream_tier::RemoteDomain).empty();
    if (!hasTrusted && tried.empty() && isLimitedByConnections(service, now))
        return std::nullopt;
    return selectFrom(tiers, service, now);
}

std::optional<upstream_id>
domain_first_placement::chooseUnsuspected(const std::string &service,
                                          std::span<const upstream_id> tried, monotonic_time now)
{
    // Suspected upstreams stay suspected, however many there are.
    auto tiers = groupByTier(m_directory.findByService(service), tried, now);
    for (const auto avoided : {upstream_tier::SuspectedPath, upstream_tier::Missing,
                               upstream_tier::Suspected, upstream_tier::Tried})
        tiers.of(avoided).clear();
    return selectFrom(tiers, service, now);
}

std::optional<upstream_id> domain_first_placement::selectFrom(const tiered_upstreams &tiers,
                                                              const std::string &service,
                                                              monotonic_time now)
{
    const auto upstreams = m_directory.findByService(service);
    const auto bestTier = std::find_if(tiers.begin(), tiers.end(),
                                       [](const auto &candidates) { return !candidates.empty(); });
    if (bestTier == tiers.end())
        return std::nullopt;
    const double median = m_latencies.median(upstreams, now);
    const bool isSpillover = bestTier == tiers.begin() && spillsOver(service, tiers, median, now);
    const auto &candidates = isSpillover ? tiers.of(upstream_tier::RemoteDomain) : *bestTier;
    const auto chosen = m_roundRobin.selectNext(
        candidates, [&](upstream_id id) { return weightOf(id, m_selectionRules, median, now); });
    m_warmupLimit.recordPlacement(*m_directory.find(chosen), now);
    return chosen;
}

placement_trace domain_first_placement::trace(const std::string &service, monotonic_time now) const
{
    placement_trace trace;
    const auto upstreams = m_directory.findByService(service);
    auto tiers = groupByTier(upstreams, {}, now);
    m_suspicion.limitSuspected(tiers);
    const double median = m_latencies.median(upstreams, now);
    for (const upstream_id id : upstreams) {
        candidate_trace candidate;
        candidate.id = id;
        candidate.latency = m_latencies.averageLatencyOf(id, now);
        candidate.expectedWait =
            m_speeds ? m_speeds->averageLatencyOf(id, now) : monotonic_time {0};
        candidate.isSuspected = m_suspicion.isSuspected(id, now);
        const auto holder = std::find_if(tiers.begin(), tiers.end(), [id](const auto &members) {
            return std::find(members.begin(), members.end(), id) != members.end();
        });
        candidate.tier = static_cast<upstream_tier>(holder - tiers.begin());
        if (candidate.tier != upstream_tier::None)
            candidate.weight = weightOf(id, m_selectionRules, median, now);
        trace.candidates.push_back(candidate);
    }
    const auto bestTier = std::find_if(tiers.begin(), tiers.end(),
                                       [](const auto &members) { return !members.empty(); });
    const bool hasTrusted = bestTier - tiers.begin() < 2;
    if (bestTier == tiers.end() || (!hasTrusted && isLimitedByConnections(service, now)))
        return trace;
    trace.rule = placement_rule::Tier;
    const auto *members = &*bestTier;
    if (bestTier == tiers.begin()) {
        const auto credit = m_spilloverCredit.find(service);
        trace.spilledShare = spilledShare(service, tiers, median, now);
        trace.spilloverCredit = credit == m_spilloverCredit.end() ? 0 : credit->second;
        const bool isSpillover = trace.spilledShare + trace.spilloverCredit >= 1
            && !tiers.of(upstream_tier::RemoteDomain).empty();
        trace.rule = isSpillover ? placement_rule::Spillover : placement_rule::RoundRobin;
        if (isSpillover)
            members = &tiers.of(upstream_tier::RemoteDomain);
    }
    auto roundRobin = m_roundRobin.copyOf(*members);
    trace.selected = roundRobin.selectNext(
        *members, [&](upstream_id id) { return weightOf(id, m_selectionRules, median, now); });
    return trace;
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

/// Share of the new flows that leaves the local domain; 0 if there is no remote upstream.
double domain_first_placement::spilledShare(const std::string &service,
                                            const tiered_upstreams &tiers, double median,
                                            monotonic_time now) const
{
    const auto &local = tiers.of(upstream_tier::LocalDomain);
    const auto &remote = tiers.of(upstream_tier::RemoteDomain);
    if (remote.empty())
        return 0;
    const domain_candidates candidates {service, local, remote, capacityOf(local, median, now),
                                        capacityOf(remote, median, now)};
    double localShare = 1;
    for (const auto &rule : m_shareRules)
        localShare *= rule->localShare(candidates, now);
    return 1 - localShare;
}

bool domain_first_placement::spillsOver(const std::string &service, const tiered_upstreams &tiers,
                                        double median, monotonic_time now)
{
    if (tiers.of(upstream_tier::RemoteDomain).empty())
        return false;
    double &credit = m_spilloverCredit[service];
    credit += spilledShare(service, tiers, median, now);
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

double domain_first_placement::weightOf(upstream_id upstream, const weight_rules &rules,
                                        double median, monotonic_time now) const
{
    const upstream_record &record = *m_directory.find(upstream);
    double weight = record.announced.slots;
    for (const weight_rule *rule : rules)
        weight *= rule->factorOf(record, median, now);
    return weight;
}

double domain_first_placement::capacityOf(std::span<const upstream_id> upstreams, double median,
                                          monotonic_time now) const
{
    double capacity = 0;
    for (const upstream_id id : upstreams)
        capacity += weightOf(id, m_capacityRules, median, now);
    return capacity;
}

bool domain_first_placement::isLocal(upstream_id upstream) const
{
    const auto *record = m_directory.find(upstream);
    return record != nullptr && record->announced.domain == m_locality.domain;
}

bool domain_first_placement::hasUnsuspected(const std::string &service, monotonic_time now) const
{
    const auto tiers = groupByTier(m_directory.findByService(service), {}, now);
    return !tiers.of(upstream_tier::LocalDomain).empty()
        || !tiers.of(upstream_tier::RemoteDomain).empty();
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
    const bool counts = m_latencies.addLowerBound(upstream, age, now);
    if (counts && m_speeds)
        m_speeds->addSample(upstream, age, now);
    return counts;
}

void domain_first_placement::recordLatency(upstream_id upstream, monotonic_time latency,
                                           monotonic_time now)
{
    m_latencies.addSample(upstream, latency, now);
    if (m_speeds)
        m_speeds->addSample(upstream, latency, now);
}

void domain_first_placement::forget(upstream_id upstream)
{
    m_suspicion.forget(upstream);
    m_latencies.forget(upstream);
    if (m_speeds)
        m_speeds->forget(upstream);
    m_warmupLimit.forget(upstream);
    m_roundRobin.forget(upstream);
}

void domain_first_placement::markSuspected(upstream_id upstream, bool isDead, monotonic_time now)
{
    m_suspicion.markSuspected(upstream, isDead, now);
}

bool domain_first_placement::isUnreliable(upstream_id upstream, monotonic_time now) const
{
    const upstream_record *record = m_directory.find(upstream);
    return m_suspicion.isSuspected(upstream, now)
        || (record != nullptr && m_pathSuspicion.isSuspected(record->announced.domain, now));
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
