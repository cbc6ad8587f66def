/**
 * @file placement/connection_limit.cpp
 * Shares of an instance in the connection limits of upstreams.
 */

#include "connection_limit_base.h"

#include <algorithm>
#include <limits>

namespace chicoryhead {

void connection_limit::setLimits(connection_limits limits)
{
    if (limits == m_limits)
        return;
    m_limits = std::move(limits);
    m_instanceCount = 0;
    for (const auto &[domain, count] : m_limits.instances)
        m_instanceCount += count;
    auto smallest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[service, maximum] : m_limits.maxConnections)
        smallest = std::min(smallest, maximum);
    const double fraction =
        std::min(m_settings.localConnectionFraction, m_settings.remoteConnectionFraction);
    m_smallestShare = static_cast<std::uint64_t>(
        smallest * fraction / static_cast<double>(std::max<std::size_t>(m_instanceCount, 1)));
}

bool connection_limit::isReached(const upstream_record &record) const
{
    if (m_counts == nullptr || m_limits.maxConnections.empty())
        return false;
    const auto count = m_counts->at(record.id);
    if (count < m_smallestShare)
        return false;
    const double share = shareOf(record);
    if (share <= 0)
        return false;
    const double rounding = hashToUnitInterval(mixHash(m_locality.seed, record.tag));
    const auto allowed = static_cast<std::uint64_t>(share + rounding);
    // With fewer connections than instances, a local share may be 0 at every upstream, and the
    // instance would refuse all flows of an idle service.
    const bool isLocal = record.announced.domain == m_locality.domain;
    return count >= (isLocal ? std::max<std::uint64_t>(allowed, 1) : allowed);
}

upstream_tier connection_limit::tierOf(const upstream_record &record, upstream_tier defaultTier,
                                       monotonic_time /*now*/) const
{
    return isReached(record) ? upstream_tier::None : defaultTier;
}

/// Share of this instance in an upstream's limit; 0 for no limit.
double connection_limit::shareOf(const upstream_record &record) const
{
    const auto found = m_limits.maxConnections.find(record.announced.service);
    if (found == m_limits.maxConnections.end())
        return 0;
    const std::size_t local = instancesIn(record.announced.domain);
    const bool isLocal = record.announced.domain == m_locality.domain;
    double fraction =
        isLocal ? m_settings.localConnectionFraction : m_settings.remoteConnectionFraction;
    if (isLocal && local == m_instanceCount)
        fraction += m_settings.remoteConnectionFraction;
    // This instance counts itself even before its registration is known.
    const auto sharing = std::max<std::size_t>(isLocal ? local : m_instanceCount - local, 1);
    return fraction * found->second / static_cast<double>(sharing);
}

std::size_t connection_limit::instancesIn(const std::string &domain) const
{
    const auto found = m_limits.instances.find(domain);
    return found == m_limits.instances.end() ? 0 : found->second;
}

} // namespace chicoryhead
