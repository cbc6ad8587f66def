/**
 * @file flow_count_base.h
 * Number of flows that this instance tracks at each upstream.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <unordered_map>

namespace chicoryhead {

/** Counts flows as they are added and removed, so that no packet needs a scan of all flows. */
class flow_count
{
public:
    void add(upstream_id upstream) { ++m_counts[upstream]; }

    /** Removes a flow that was added before. */
    void remove(upstream_id upstream)
    {
        const auto found = m_counts.find(upstream);
        if (--found->second == 0)
            m_counts.erase(found);
    }

    std::uint64_t at(upstream_id upstream) const
    {
        const auto found = m_counts.find(upstream);
        return found == m_counts.end() ? 0 : found->second;
    }

    /** Upstreams with at least one flow. */
    const std::unordered_map<upstream_id, std::uint64_t> &all() const { return m_counts; }

private:
    std::unordered_map<upstream_id, std::uint64_t> m_counts; ///< none is 0
};

} // namespace chicoryhead
