/**
 * @file placement/warmup_limit.cpp
 * Permits for new flows to cold upstreams.
 */

#include "warmup_limit_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace chicoryhead {

void warmup_limit::setLimits(std::map<std::string, double> rates, std::size_t instanceCount)
{
    if (rates == m_rates && instanceCount == m_instanceCount)
        return;
    m_rates = std::move(rates);
    m_instanceCount = instanceCount;
    // The numbers of permits depend on the rate.
    m_lastUsed.clear();
}

void warmup_limit::recordPlacement(const upstream_record &record, monotonic_time now)
{
    const double rate = rateOf(record, now);
    if (rate > 0)
        m_lastUsed[record.id] = lastUnusable(record, rate, now) + 1;
}

upstream_tier warmup_limit::tierOf(const upstream_record &record, upstream_tier defaultTier,
                                   monotonic_time now) const
{
    const double rate = rateOf(record, now);
    if (rate <= 0 || issued(record, rate, now) > lastUnusable(record, rate, now))
        return defaultTier;
    return upstream_tier::None;
}

/// Share of this instance in the rate of a cold upstream, in flows per second; 0 for no limit.
double warmup_limit::rateOf(const upstream_record &record, monotonic_time now) const
{
    if (m_rates.empty() || record.warmupEndsAt <= now)
        return 0;
    const auto found = m_rates.find(record.announced.service);
    if (found == m_rates.end())
        return 0;
    return found->second * m_settings.warmupRateFraction / static_cast<double>(m_instanceCount);
}

/// Number of permits issued until a point in time. In a large fleet an instance gets one in several
/// seconds, so the phases of the instances differ.
std::int64_t warmup_limit::issued(const upstream_record &record, double rate,
                                  monotonic_time at) const
{
    const double phase = hashToUnitInterval(mixHash(m_locality.seed, record.tag));
    const double seconds = std::chrono::duration<double>(at).count();
    return static_cast<std::int64_t>(std::floor(seconds * rate + phase));
}

/// The last permit that was used or has expired.
std::int64_t warmup_limit::lastUnusable(const upstream_record &record, double rate,
                                        monotonic_time now) const
{
    const auto expired = issued(record, rate, now - m_settings.warmupPermitLifetime);
    const auto found = m_lastUsed.find(record.id);
    return found == m_lastUsed.end() ? expired : std::max(expired, found->second);
}

} // namespace chicoryhead
