/**
 * @file flow_base.h
 * Bounded table of the flows that an instance knows.
 */

#pragma once

#include "flow_type.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicoryhead {

/**
 * Open-addressing hash table of flows with two groups of eight entries per hash.
 *
 * One tag byte per entry lies in a word per group, so that a miss reads two words and a hit one
 * word and one entry. Entries never move; pointers stay valid until the entry is erased or evicted.
 */
class flow_table
{
public:
    /** @param maxFlows number of flows that the table is sized for, at least 1. */
    explicit flow_table(std::size_t maxFlows);

    /** The entry of a flow, expired ones included until expire() reaches them; or nullptr. */
    flow_entry *find(flow_hash hash);

    /**
     * Inserts or replaces a flow. When both groups of the hash are full, the longest-idle entry in
     * them is evicted; when the table holds maxFlows, the longest-idle one in them and two more.
     */
    flow_entry &insert(flow_hash hash, upstream_id upstream, flow_state state, flow_time now);

    /** Moves an entry to another upstream. */
    void setUpstream(flow_entry &entry, upstream_id upstream);

    /** Removes an entry of this table. */
    void erase(flow_entry &entry);

    /**
     * Removes idle entries in a part of the table; repeated calls go round.
     * @param groups number of groups of eight entries to look at.
     * @return number of entries removed.
     */
    std::size_t expire(flow_time now, std::size_t groups);

    std::size_t size() const { return m_size; }
    std::size_t groupCount() const { return m_tags.size(); }
    /** Bytes allocated for entries and tags. */
    std::size_t memoryBytes() const;
    std::uint64_t evictions() const { return m_evictions; }
    /** Flows per upstream, ascending by id; upstreams without flows are absent. */
    std::vector<std::pair<upstream_id, std::uint32_t>> countFlows() const;

    /** Idle time after which an entry in a state expires. */
    static flow_time idleTimeout(flow_state state);

private:
    std::size_t firstGroup(flow_hash hash) const;
    std::size_t secondGroup(flow_hash hash) const;
    flow_entry *findIn(std::size_t group, flow_hash hash);
    flow_entry *freeEntry(std::size_t group);
    flow_entry *evict(std::span<const std::size_t> groups, flow_time now);
    void setTag(const flow_entry &entry, std::uint8_t tag);

    std::size_t m_maxFlows;
    std::vector<std::uint64_t> m_tags; ///< eight tag bytes per group; 0 marks a free entry
    std::vector<flow_entry> m_entries; ///< eight per group
    std::size_t m_size = 0;            ///< entries with a tag other than 0; at most m_maxFlows
    std::size_t m_hand = 0;            ///< group at which the next eviction of a full table looks
    std::size_t m_cursor = 0;          ///< group at which the next expire() starts
    std::uint64_t m_evictions = 0;
    std::unordered_map<upstream_id, std::uint32_t> m_counts; ///< sums to m_size; no zero counts
};

} // namespace chicoryhead
