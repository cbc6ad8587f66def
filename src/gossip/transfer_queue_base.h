/**
 * @file transfer_queue_base.h
 * States on their way to other instances, sent at a bounded rate.
 */

#pragma once

#include "core/core_base.h"
#include "gossip_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace chicoryhead {

/** Bounds of the transfers of one instance. */
struct transfer_limits
{
    /// Rate of all transfers together; a quarter of a link of 10 Mbit/s, whose rest is for packets.
    std::uint64_t bytesPerSecond = 312500;
    /// Bytes that may leave at once, so that small differences don't wait for a tick.
    std::size_t burstBytes = 32768;
    /// Transfers under way; whoever asks then gets nothing and asks another instance.
    std::size_t maxTransfers = 8;
};

/** Splits states into datagrams and sends them in turn as the rate allows. */
class transfer_queue
{
public:
    transfer_queue(peer_sink &sink, const clock_source &clock, transfer_limits limits = {});

    /**
     * Queues a state; returns false when too many are under way. A later question of the same
     * target takes the place of its former one.
     */
    bool enqueue(const endpoint &target, std::uint64_t nonce, std::vector<std::byte> state);

    /** Sends what the rate allows. */
    void flush();

    /** Uses other limits from now on. */
    void setLimits(const transfer_limits &limits) { m_limits = limits; }

    bool isEmpty() const { return m_transfers.empty(); }

    /** Transfers that were refused. */
    std::uint64_t refusedCount() const { return m_refusedCount; }

private:
    /** One state under way. */
    struct transfer
    {
        endpoint target;
        std::uint64_t nonce = 0; ///< of the target's question
        std::vector<std::byte> bytes;
        std::size_t nextFragment = 0;
    };

    bool sendNextFragment(transfer &next);

    peer_sink &m_sink;
    const clock_source &m_clock;
    transfer_limits m_limits;
    std::deque<transfer> m_transfers; ///< the first one gets the next part
    double m_tokens;                  ///< bytes that may leave now
    monotonic_time m_refilledAt;
    std::uint64_t m_refusedCount = 0;
};

} // namespace chicoryhead
