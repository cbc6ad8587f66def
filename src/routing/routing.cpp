/**
 * @file routing.cpp
 * Route lookup and weighted selection of targets.
 */

#include "routing_base.h"

#include <cassert>
#include <utility>

namespace chicoryhead {

bool routing_table::apply(routing_config config, monotonic_time now)
{
    // Instances of older releases pass configurations on without connection limits.
    if (config.version == m_config.version && m_config.maxConnections.empty())
        m_config.maxConnections = std::move(config.maxConnections);
    if (config.version <= m_config.version)
        return false;
    m_config = std::move(config);
    m_appliedAt = now;
    m_byAddress.clear();
    for (std::size_t index = 0; index < m_config.routes.size(); ++index)
        m_byAddress.try_emplace(m_config.routes[index].address, index);
    return true;
}

const route *routing_table::find(const endpoint &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_config.routes[found->second];
}

const std::string &routing_table::selectService(const route &selected, flow_hash hash)
{
    assert(!selected.targets.empty());
    std::uint64_t total = 0;
    for (const route_target &target : selected.targets)
        total += target.weight;
    if (total == 0)
        return selected.targets.front().service;
    std::uint64_t point = hash % total;
    for (const route_target &target : selected.targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return selected.targets.back().service;
}

} // namespace chicoryhead
