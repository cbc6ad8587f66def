/**
 * @file transfer_queue_base.h
 * Rate-limited transfers of states to other instances.
 */

#pragma once

#include "core/core_base.h"
#include "gossip_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace chicoryhead {

/** Limits of the state transfers of one instance. */
struct transfer_limits
{
    /// Rate of all transfers together: a quarter of a link of 10 Mbit/s; the rest is for packets.
    std::uint64_t bytesPerSecond = 312500;
    /// Bytes that can be sent at once, so that small deltas do not wait for the next tick.
    std::size_t burstBytes = 32768;
    /// Concurrent transfers; whoever requests a further one has to ask another instance.
    std::size_t maxTransfers = 8;
};

/** Splits states into fragments and sends those of all transfers in turn, as the rate allows. */
class transfer_queue
{
public:
    transfer_queue(peer_sink &sink, const clock_source &clock, transfer_limits limits = {});

    /**
     * Queues a state; returns false when too many transfers are in progress. A new request of a
     * target replaces its previous one.
     */
    bool enqueue(const endpoint &target, std::uint64_t nonce, std::vector<std::byte> state);

    /** Sends as many fragments as the rate allows. */
    void flush();

    /** Replaces the limits. */
    void setLimits(const transfer_limits &limits) { m_limits = limits; }

    bool isEmpty() const { return m_transfers.empty(); }

    /** Number of transfers refused because too many were in progress. */
    std::uint64_t refusedCount() const { return m_refusedCount; }

private:
    /** One state in transfer. */
    struct transfer
    {
        endpoint target;
        std::uint64_t nonce = 0; ///< of the target's request
        std::vector<std::byte> bytes;
        std::size_t nextFragment = 0;
    };

    bool sendNextFragment(transfer &next);

    peer_sink &m_sink;
    const clock_source &m_clock;
    transfer_limits m_limits;
    std::deque<transfer> m_transfers; ///< the first one sends the next fragment
    double m_tokens;                  ///< bytes that can be sent now; negative after an overdraft
    monotonic_time m_refilledAt;
    std::uint64_t m_refusedCount = 0;
};

} // namespace chicoryhead
