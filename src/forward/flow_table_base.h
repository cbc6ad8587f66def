/**
 * @file flow_table_base.h
 * What this instance saw of the flows that pass here lately.
 *
 * No decision about an open flow depends on it: the packets carry their upstream. It is used for
 * copies of opening packets and as evidence about upstreams, and may be lost at any time.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicoryhead {

/** What was seen of one flow. */
struct flow_entry
{
    static constexpr std::size_t maxTried = 3; ///< a caller sends its opening packet three times

    std::uint32_t openingSequence =
        0; ///< sequence of the opening packet; another one is another flow
    std::array<upstream_id, maxTried> tried {}; ///< upstreams that the opening packet went to
    std::uint8_t triedCount = 0;
    bool isOpen = false;               ///< a packet with a steering tag was seen
    upstream_id upstream = noUpstream; ///< the last one that a packet went to
    monotonic_time placedAt {0};       ///< when the opening packet was last sent on
    monotonic_time lastSeenAt {0};
    monotonic_time requestStartedAt {
        0};                            ///< when the request in progress was first seen; 0 for none
    std::uint32_t requestSequence = 0; ///< of the data that began the request in progress
    std::uint32_t acknowledged = 0;    ///< highest value that the caller sent

    std::span<const upstream_id> triedUpstreams() const { return {tried.data(), triedCount}; }
};

/** A bounded table of flows. */
class flow_table
{
public:
    /** @param capacity flows that are held at most; further ones are not observed. */
    explicit flow_table(std::size_t capacity) : m_capacity(capacity) { }

    /** What was seen of a flow; null when nothing was. */
    flow_entry *find(const flow_key &flow);

    /** Begins to observe a flow; null when the table is full. */
    flow_entry *add(const flow_key &flow, monotonic_time now);

    void remove(const flow_key &flow);

    /** Removes the open flows whose last packet went to an upstream, and returns them. */
    std::vector<std::pair<flow_key, flow_entry>> extractOpenFlows(upstream_id upstream);

    /** Drops flows that were idle for longer than a time. */
    void expire(monotonic_time maxIdle, monotonic_time now);

    std::size_t size() const { return m_entries.size(); }

    /** Flows by the upstream that their last packet went to. */
    std::map<upstream_id, std::uint64_t> countByUpstream() const;

private:
    struct key_hash
    {
        std::size_t operator()(const flow_key &key) const { return hashFlow(key); }
    };

    std::size_t m_capacity;
    std::unordered_map<flow_key, flow_entry, key_hash> m_entries;
};

} // namespace chicoryhead
