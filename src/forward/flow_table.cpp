/**
 * @file flow_table.cpp
 * The bounded table of observed flows.
 */

#include "flow_table_base.h"

namespace chicoryhead {

observed_flow *flow_observer::find(const flow_key &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

observed_flow *flow_observer::add(const flow_key &flow, monotonic_time now)
{
    if (m_flows.size() >= m_capacity)
        return nullptr;
    observed_flow &added = m_flows[flow];
    added = {};
    added.seenAt = now;
    return &added;
}

void flow_observer::remove(const flow_key &flow)
{
    m_flows.erase(flow);
}

std::vector<std::pair<flow_key, observed_flow>> flow_observer::takeOpen(upstream_id upstream)
{
    std::vector<std::pair<flow_key, observed_flow>> taken;
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        if (entry->second.isOpen && entry->second.upstream == upstream) {
            taken.emplace_back(*entry);
            entry = m_flows.erase(entry);
        } else {
            ++entry;
        }
    }
    return taken;
}

void flow_observer::expire(monotonic_time maxIdle, monotonic_time now)
{
    std::erase_if(m_flows, [&](const auto &entry) { return now - entry.second.seenAt > maxIdle; });
}

std::map<upstream_id, std::uint64_t> flow_observer::countByUpstream() const
{
    std::map<upstream_id, std::uint64_t> counts;
    for (const auto &[key, flow] : m_flows)
        ++counts[flow.upstream];
    return counts;
}

} // namespace chicoryhead
