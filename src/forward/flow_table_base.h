/**
 * @file flow_table_base.h
 * State of the flows whose packets recently passed through this instance.
 *
 * Steering of open flows does not need it: their packets carry the tag of their upstream. It serves
 * to handle retransmitted opening packets and to detect slow or failed upstreams, and may be lost
 * at any time.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"
#include "placement/flow_count_base.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicoryhead {

/** Observed state of one flow. */
struct flow_entry
{
    /// A caller sends its opening packet three times, and one of them may be hedged.
    static constexpr std::size_t maxTried = 4;

    /// Sequence number of the opening packet; a different number means a different flow.
    std::uint32_t openingSequence = 0;
    std::array<upstream_id, maxTried> tried {}; ///< upstreams that the opening packet was sent to
    std::uint8_t triedCount = 0;
    bool isHedged = false;   ///< tried[1] got the opening packet as a hedge
    bool isRepeated = false; ///< tried[0] got a copy of the opening packet that it left unanswered
    bool isOpen = false;     ///< a packet with a steering tag was seen
    /// The upstream has accepted the flow: it answered a request, or another instance saw the flow
    /// being opened.
    bool isAccepted = false;
    /// Upstream that the last packet was sent to; set by flow_table::assign().
    upstream_id upstream = noUpstream;
    monotonic_time placedAt {0};      ///< when an upstream was last selected for the flow
    monotonic_time openingSentAt {0}; ///< when that upstream last got the opening packet
    monotonic_time trackedSince {0};  ///< when its first packet arrived here
    monotonic_time lastSeenAt {0};
    /// When the first transmission of the opening packet was forwarded; 0 if it was not seen.
    monotonic_time openingSeenAt {0};
    /// When the request in progress was first seen; 0 for none.
    monotonic_time requestStartedAt {0};
    monotonic_time requestSentAt {0}; ///< when the request in progress was last forwarded
    /// The request in progress is a single packet that was not retransmitted, so the upstream has
    /// all of it.
    bool isRequestSentOnce = false;
    std::uint32_t requestSequence = 0; ///< sequence number of the first data of the latest request
    std::uint32_t acknowledged = 0;    ///< highest acknowledgement number from the caller
    std::uint32_t dataEnd = 0;         ///< highest sequence number after data from the caller
    /// Packets with data that was sent before, since the caller last sent or acknowledged new data.
    unsigned repeatedData = 0;
    /// The flow is known to be open at `upstream`, from which its caller acknowledged data.
    bool isConfirmed = false;
    /// The tag changed before the flow was confirmed, so its data went to more than one upstream.
    bool isDisputed = false;

    /** Upstreams that the opening packet may be recorded for. */
    std::size_t maxTriedCount() const { return isHedged ? maxTried : maxTried - 1; }

    std::span<const upstream_id> triedUpstreams() const { return {tried.data(), triedCount}; }

    /** Whether the opening packet was sent to an upstream. */
    bool hasTried(upstream_id id) const
    {
        const auto upstreams = triedUpstreams();
        return std::find(upstreams.begin(), upstreams.end(), id) != upstreams.end();
    }
};

/** Bounded table of flows. */
class flow_table
{
public:
    /** @param capacity maximum number of flows; further ones are not tracked. */
    explicit flow_table(std::size_t capacity) : m_capacity(capacity) { }

    /** The entry of a flow; null if it is not tracked. */
    flow_entry *find(const flow_key &flow);

    /** Starts to track a flow; null if the table is full. */
    flow_entry *add(const flow_key &flow, monotonic_time now);

    void remove(const flow_key &flow);

    /** Sets the upstream of an entry of this table. */
    void assign(flow_entry &entry, upstream_id upstream);

    /** Clears an entry of this table. */
    void reset(flow_entry &entry);

    /** Removes and returns the open flows whose last packet was sent to an upstream. */
    std::vector<std::pair<flow_key, flow_entry>> extractOpenFlows(upstream_id upstream);

    /** Removes flows that have been idle for longer than `maxIdle`. */
    void expire(monotonic_time maxIdle, monotonic_time now);

    std::size_t size() const { return m_entries.size(); }

    /** Number of flows by the upstream that their last packet was sent to. */
    std::map<upstream_id, std::uint64_t> countByUpstream() const;

    /** The same numbers by upstream, without a copy. */
    const flow_count &flowCount() const { return m_flowCount; }

private:
    struct key_hash
    {
        std::size_t operator()(const flow_key &key) const { return hashFlow(key); }
    };

    std::size_t m_capacity;
    std::unordered_map<flow_key, flow_entry, key_hash> m_entries;
    flow_count m_flowCount; ///< agrees with the entries that have an upstream
};

} // namespace chicoryhead
