/**
 * @file opening_hedger_base.h
 * Opening packets that may be sent once more, to a second upstream.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"
#include "opening_time_tracker_base.h"

#include <boost/circular_buffer.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chicoryhead {

/** An opening packet that was forwarded to a first upstream. */
struct pending_hedge
{
    flow_key flow;
    std::uint32_t openingSequence = 0; ///< distinguishes the flow from others on the same port
    upstream_id first = noUpstream;    ///< upstream that the packet was forwarded to
    monotonic_time placedAt {0};       ///< when it was forwarded
    opening_bytes bytes {};
};

/**
 * Bounded queue of opening packets until their hedging delay has passed. Flows that open meanwhile
 * stay in it; whoever takes an entry checks the flow.
 */
class opening_hedger
{
public:
    /// Entries are kept for 150 ms at most, so this suffices for 3,400 flows per second; about
    /// 50 KB.
    static constexpr std::size_t maxPending = 512;
    /// Older entries are discarded: the caller sends a copy of its own after 200 ms, and the hedge
    /// would arrive together with it.
    static constexpr monotonic_time maxAge = std::chrono::milliseconds(180);

    /// Hedges for one upstream until a flow opens there. A flow that opens at the second upstream
    /// sends no copies, which are the evidence that the first one does not answer. Without a limit,
    /// a dead upstream would keep its share of new flows. One hedge may be due to a lost datagram.
    static constexpr std::size_t maxUnansweredHedges = 2;
    /// Latest hedges that are counted against that limit, for all upstreams together.
    static constexpr std::size_t maxRememberedHedges = 32;

    /** Turns hedging on or off. Turning it off discards all recorded state. */
    void setEnabled(bool isEnabled)
    {
        if (isEnabled == m_isEnabled)
            return;
        m_isEnabled = isEnabled;
        m_pending = boost::circular_buffer<pending_hedge>(isEnabled ? maxPending : 0);
        m_unansweredHedges =
            boost::circular_buffer<upstream_id>(isEnabled ? maxRememberedHedges : 0);
        m_openingTimes = {};
    }

    bool isEnabled() const { return m_isEnabled; }

    /** Records the time that a flow took to open. */
    void recordOpeningTime(monotonic_time openingTime)
    {
        if (m_isEnabled)
            m_openingTimes.add(openingTime);
    }

    /** Records that a flow opened at an upstream. */
    void recordOpened(upstream_id upstream)
    {
        m_unansweredHedges.erase(
            std::remove(m_unansweredHedges.begin(), m_unansweredHedges.end(), upstream),
            m_unansweredHedges.end());
    }

    /** Records a hedge of an opening packet that was forwarded to an upstream before. */
    void recordHedge(upstream_id first) { m_unansweredHedges.push_back(first); }

    /** Whether opening packets forwarded to an upstream may be hedged. */
    bool mayHedge(upstream_id first) const
    {
        const auto hedges = std::count(m_unansweredHedges.begin(), m_unansweredHedges.end(), first);
        return static_cast<std::size_t>(hedges) < maxUnansweredHedges;
    }

    /** Time from an opening packet to its hedge. */
    monotonic_time delay() const { return m_openingTimes.delay(); }

    /**
     * Adds an opening packet that was just forwarded; placedAt must not decrease.
     * @return false if the queue is full or hedging is off; the packet is then not hedged.
     */
    bool add(const pending_hedge &opening)
    {
        if (m_pending.full())
            return false;
        m_pending.push_back(opening);
        return true;
    }

    /** Removes and returns an entry that is due; std::nullopt if there is none. */
    std::optional<pending_hedge> takeDue(monotonic_time now)
    {
        discardWhile([&](const pending_hedge &oldest) { return now - oldest.placedAt > maxAge; });
        const auto dueAt = nextDueAt();
        if (!dueAt || *dueAt > now)
            return std::nullopt;
        const pending_hedge oldest = m_pending.front();
        m_pending.pop_front();
        return oldest;
    }

    /** When the oldest entry is due; std::nullopt if there is none. */
    std::optional<monotonic_time> nextDueAt() const
    {
        if (m_pending.empty())
            return std::nullopt;
        return m_pending.front().placedAt + delay();
    }

    /** Removes the oldest entries as long as the condition holds for them. */
    template<typename Condition>
    void discardWhile(const Condition &isVoid)
    {
        while (!m_pending.empty() && isVoid(m_pending.front()))
            m_pending.pop_front();
    }

    std::size_t size() const { return m_pending.size(); }

private:
    bool m_isEnabled = false;
    boost::circular_buffer<pending_hedge> m_pending; ///< by placedAt; no capacity while disabled
    /// First upstreams of the latest hedges, without those where a flow opened since.
    boost::circular_buffer<upstream_id> m_unansweredHedges;
    opening_time_tracker m_openingTimes; ///< empty while disabled
};

} // namespace chicoryhead
