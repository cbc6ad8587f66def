/**
 * @file placement/suspicion.cpp
 * Suspicion that doubles, of upstreams and of paths.
 */

#include "suspicion_base.h"

#include <algorithm>
#include <utility>

namespace chicoryhead {

bool doubling_suspicion::noteLoss(const placement_settings &settings, monotonic_time now)
{
    const bool wasActive = isActive(now);
    const unsigned doublings = std::min(m_losses, 8U);
    m_until =
        now + std::min(settings.baseSuspicionTime * (1U << doublings), settings.maxSuspicionTime);
    ++m_losses;
    return !wasActive;
}

void doubling_suspicion::avoidUntil(monotonic_time until)
{
    m_until = std::max(m_until, until);
    m_losses = std::max(m_losses, 1U);
}

bool doubling_suspicion::end()
{
    m_until = monotonic_time {0};
    return std::exchange(m_losses, 0) > 0;
}

bool upstream_suspicion::noteUnanswered(upstream_id upstream, monotonic_time now)
{
    return m_suspects[upstream].suspicion.noteLoss(m_settings, now);
}

bool upstream_suspicion::noteAnswered(upstream_id upstream)
{
    const auto found = m_suspects.find(upstream);
    if (found == m_suspects.end())
        return false;
    found->second.isDead = false;
    return found->second.suspicion.end();
}

void upstream_suspicion::avoid(upstream_id upstream, bool isDead, monotonic_time now)
{
    suspect &known = m_suspects[upstream];
    auto duration = m_settings.baseSuspicionTime;
    if (isDead) {
        // Instances that learnt of it together must not all try it again in one moment.
        const double share = jitterOf(upstream, now);
        duration = monotonic_time(static_cast<monotonic_time::rep>(
            static_cast<double>(m_settings.maxSuspicionTime.count()) * (0.5 + share / 2)));
    }
    known.suspicion.avoidUntil(now + duration);
    known.isDead = known.isDead || isDead;
}

/// Differs between instances, upstreams and times; from 0 to 1.
double upstream_suspicion::jitterOf(upstream_id upstream, monotonic_time now) const
{
    return hashToUnitInterval(
        mixHash(m_locality.seed ^ static_cast<std::uint64_t>(now.count()), idValue(upstream)));
}

bool upstream_suspicion::isSuspected(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_suspects.find(upstream);
    return found != m_suspects.end() && found->second.suspicion.isActive(now);
}

std::size_t upstream_suspicion::count(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspects.begin(), m_suspects.end(),
                      [&](const auto &entry) { return entry.second.suspicion.isActive(now); }));
}

upstream_tier upstream_suspicion::tierOf(const upstream_record &record, upstream_tier usual,
                                         monotonic_time now) const
{
    return isSuspected(record.id, now) ? upstream_tier::Suspected : usual;
}

unsigned upstream_suspicion::slotsOf(const std::vector<upstream_id> &upstreams) const
{
    unsigned slots = 0;
    for (const upstream_id id : upstreams)
        slots += m_directory.find(id)->announced.slots;
    return slots;
}

void upstream_suspicion::trustSome(tiered_upstreams &tiers) const
{
    auto &suspected = tiers.of(upstream_tier::Suspected);
    unsigned total = 0;
    for (const auto &upstreams : tiers)
        total += slotsOf(upstreams);
    if (slotsOf(suspected) <= m_settings.maxSuspectedFraction * total)
        return;
    std::erase_if(suspected, [&](upstream_id id) {
        if (m_suspects.find(id)->second.isDead)
            return false;
        const bool isOwn = m_directory.find(id)->announced.domain == m_locality.domain;
        tiers.of(isOwn ? upstream_tier::LocalDomain : upstream_tier::RemoteDomain).push_back(id);
        return true;
    });
}

void path_doubt::noteUnanswered(const std::string &domain, monotonic_time now)
{
    if (domain != m_locality.domain)
        m_paths[domain].noteLoss(m_settings, now);
}

upstream_tier path_doubt::tierOf(const upstream_record &record, upstream_tier usual,
                                 monotonic_time now) const
{
    const auto found = m_paths.find(record.announced.domain);
    return found != m_paths.end() && found->second.isActive(now) ? upstream_tier::SuspectedPath
                                                                 : usual;
}

} // namespace chicoryhead
