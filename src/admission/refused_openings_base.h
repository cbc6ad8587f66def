/**
 * @file refused_openings_base.h
 * Opening packets that were recently refused, so that retransmitted copies are refused as well.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace chicoryhead {

/** Bounded set of refused opening packets. */
class refused_openings
{
public:
    /// A caller ends an attempt 1.4 s after its first opening packet.
    static constexpr monotonic_time maxAge = std::chrono::milliseconds(1500);
    /// About 300 kB. Further ones are not recorded; each copy of them gets a decision of its own.
    static constexpr std::size_t maxEntries = 4096;

    void add(const flow_key &flow, std::uint32_t sequence, monotonic_time now)
    {
        if (m_entries.size() < maxEntries)
            m_entries[flow] = {sequence, now};
    }

    bool contains(const flow_key &flow, std::uint32_t sequence, monotonic_time now) const
    {
        if (m_entries.empty())
            return false;
        const auto found = m_entries.find(flow);
        return found != m_entries.end() && found->second.sequence == sequence
            && now - found->second.refusedAt <= maxAge;
    }

    /** Removes old entries; called about once per second. */
    void expire(monotonic_time now)
    {
        std::erase_if(m_entries,
                      [&](const auto &entry) { return now - entry.second.refusedAt > maxAge; });
    }

private:
    struct refusal
    {
        std::uint32_t sequence = 0; ///< of the opening packet
        monotonic_time refusedAt {0};
    };
    struct key_hash
    {
        std::size_t operator()(const flow_key &key) const { return hashFlow(key); }
    };

    std::unordered_map<flow_key, refusal, key_hash> m_entries;
};

} // namespace chicoryhead
