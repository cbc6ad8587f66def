/**
 * @file flow_table.cpp
 * Bounded table of flows seen by this instance.
 */

#include "flow_table_base.h"

namespace chicoryhead {

flow_entry *flow_table::find(const flow_key &flow)
{
    const auto found = m_entries.find(flow);
    return found == m_entries.end() ? nullptr : &found->second;
}

flow_entry *flow_table::add(const flow_key &flow, monotonic_time now)
{
    if (m_entries.size() >= m_capacity)
        return nullptr;
    flow_entry &added = m_entries[flow];
    added = {};
    added.lastSeenAt = now;
    return &added;
}

void flow_table::remove(const flow_key &flow)
{
    m_entries.erase(flow);
}

std::vector<std::pair<flow_key, flow_entry>> flow_table::extractOpenFlows(upstream_id upstream)
{
    std::vector<std::pair<flow_key, flow_entry>> extracted;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.isOpen && entry->second.upstream == upstream) {
            extracted.emplace_back(*entry);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
    return extracted;
}

void flow_table::expire(monotonic_time maxIdle, monotonic_time now)
{
    std::erase_if(m_entries,
                  [&](const auto &entry) { return now - entry.second.lastSeenAt > maxIdle; });
}

std::map<upstream_id, std::uint64_t> flow_table::countByUpstream() const
{
    std::map<upstream_id, std::uint64_t> counts;
    for (const auto &[key, flow] : m_entries)
        ++counts[flow.upstream];
    return counts;
}

} // namespace chicoryhead
