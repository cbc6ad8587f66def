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
    reset(added);
    added.trackedSince = now;
    added.lastSeenAt = now;
    return &added;
}

void flow_table::remove(const flow_key &flow)
{
    const auto found = m_entries.find(flow);
    if (found == m_entries.end())
        return;
    reset(found->second);
    m_entries.erase(found);
}

void flow_table::assign(flow_entry &entry, upstream_id upstream)
{
    if (entry.upstream == upstream)
        return;
    if (entry.upstream != noUpstream)
        m_flowCount.remove(entry.upstream);
    if (upstream != noUpstream)
        m_flowCount.add(upstream);
    entry.upstream = upstream;
}

void flow_table::reset(flow_entry &entry)
{
    assign(entry, noUpstream);
    entry = {};
}

std::vector<std::pair<flow_key, flow_entry>> flow_table::extractOpenFlows(upstream_id upstream)
{
    std::vector<std::pair<flow_key, flow_entry>> extracted;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.isOpen && entry->second.upstream == upstream) {
            extracted.emplace_back(*entry);
            reset(entry->second);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
    return extracted;
}

void flow_table::expire(monotonic_time maxIdle, monotonic_time now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (now - entry->second.lastSeenAt > maxIdle) {
            reset(entry->second);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::map<upstream_id, std::uint64_t> flow_table::countByUpstream() const
{
    return {m_flowCount.all().begin(), m_flowCount.all().end()};
}

} // namespace chicoryhead
