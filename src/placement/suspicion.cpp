/**
 * @file placement/suspicion.cpp
 * Suspicion with exponential backoff.
 */

#include "suspicion_base.h"

#include <algorithm>
#include <utility>

namespace chicoryhead {

bool suspicion_backoff::recordFailure(const placement_settings &settings, monotonic_time now)
{
    const bool wasActive = isActive(now);
    const unsigned doublings = std::min(m_failures, 8U);
    m_until =
        now + std::min(settings.baseSuspicionTime * (1U << doublings), settings.maxSuspicionTime);
    ++m_failures;
    return !wasActive;
}

void suspicion_backoff::extendUntil(monotonic_time until)
{
    m_until = std::max(m_until, until);
    m_failures = std::max(m_failures, 1U);
}

bool suspicion_backoff::clear()
{
    m_until = monotonic_time {0};
    return std::exchange(m_failures, 0) > 0;
}

bool upstream_suspicion::recordConnectFailure(upstream_id upstream, monotonic_time now)
{
    return m_suspectStates[upstream].backoff.recordFailure(m_settings, now);
}

bool upstream_suspicion::recordConnectSuccess(upstream_id upstream)
{
    const auto found = m_suspectStates.find(upstream);
    if (found == m_suspectStates.end())
        return false;
    found->second.isDead = false;
    return found->second.backoff.clear();
}

void upstream_suspicion::markSuspected(upstream_id upstream, bool isDead, monotonic_time now)
{
    suspect_state &state = m_suspectStates[upstream];
    auto duration = m_settings.baseSuspicionTime;
    if (isDead) {
        // Jitter, so that instances that received the report together do not all retry at once.
        const double jitter = jitterOf(upstream, now);
        duration = monotonic_time(static_cast<monotonic_time::rep>(
            static_cast<double>(m_settings.maxSuspicionTime.count()) * (0.5 + jitter / 2)));
    }
    state.backoff.extendUntil(now + duration);
    state.isDead = state.isDead || isDead;
}

/// Value in [0, 1) that differs between instances, upstreams and points in time.
double upstream_suspicion::jitterOf(upstream_id upstream, monotonic_time now) const
{
    return hashToUnitInterval(
        mixHash(m_locality.seed ^ static_cast<std::uint64_t>(now.count()), idValue(upstream)));
}

bool upstream_suspicion::isSuspected(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_suspectStates.find(upstream);
    return found != m_suspectStates.end() && found->second.backoff.isActive(now);
}

std::size_t upstream_suspicion::count(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspectStates.begin(), m_suspectStates.end(),
                      [&](const auto &entry) { return entry.second.backoff.isActive(now); }));
}

upstream_tier upstream_suspicion::tierOf(const upstream_record &record, upstream_tier defaultTier,
                                         monotonic_time now) const
{
    return isSuspected(record.id, now) ? upstream_tier::Suspected : defaultTier;
}

unsigned upstream_suspicion::slotsOf(const std::vector<upstream_id> &upstreams) const
{
    unsigned slots = 0;
    for (const upstream_id id : upstreams)
        slots += m_directory.find(id)->announced.slots;
    return slots;
}

void upstream_suspicion::limitSuspected(tiered_upstreams &tiers) const
{
    auto &suspected = tiers.of(upstream_tier::Suspected);
    unsigned total = 0;
    for (const auto &upstreams : tiers)
        total += slotsOf(upstreams);
    if (slotsOf(suspected) <= m_settings.maxSuspectedFraction * total)
        return;
    std::erase_if(suspected, [&](upstream_id id) {
        if (m_suspectStates.find(id)->second.isDead)
            return false;
        const bool isLocal = m_directory.find(id)->announced.domain == m_locality.domain;
        tiers.of(isLocal ? upstream_tier::LocalDomain : upstream_tier::RemoteDomain).push_back(id);
        return true;
    });
}

void path_suspicion::recordConnectFailure(const std::string &domain, monotonic_time now)
{
    if (domain != m_locality.domain)
        m_pathSuspicion[domain].recordFailure(m_settings, now);
}

upstream_tier path_suspicion::tierOf(const upstream_record &record, upstream_tier defaultTier,
                                     monotonic_time now) const
{
    return isSuspected(record.announced.domain, now) ? upstream_tier::SuspectedPath : defaultTier;
}

bool path_suspicion::isSuspected(const std::string &domain, monotonic_time now) const
{
    const auto found = m_pathSuspicion.find(domain);
    return found != m_pathSuspicion.end() && found->second.isActive(now);
}

} // namespace chicoryhead
