/**
 * @file pending_packet_queue_base.h
 * Queue for packets that arrive before this instance has a configuration.
 */

#pragma once

#include "core/core_type.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace chicoryhead {

/** Bounds of the pending packet queue. */
struct pending_packet_queue_settings
{
    /// A starting instance reads the store within a few hundred milliseconds. Callers retransmit
    /// packets that stay unanswered for longer, and after this time both copies would be forwarded.
    monotonic_time maxAge = std::chrono::milliseconds(1000);
    std::size_t maxBytes = 262144;
};

/**
 * Holds packets from the start of the process until it has a configuration. A caller waits up to
 * 1.6 s before it retransmits a packet, which is longer than a restart takes.
 */
class pending_packet_queue
{
public:
    explicit pending_packet_queue(pending_packet_queue_settings settings = {})
        : m_settings(settings)
    {
    }

    /** Adds a packet; returns false if the queue is full. */
    bool add(std::span<const std::byte> packet, monotonic_time now);

    /** Removes all packets and returns those not older than maxAge, oldest first. */
    std::vector<std::vector<std::byte>> takeAll(monotonic_time now);

    /** Removes the selected packets and all expired ones; returns the selected, unexpired ones. */
    std::vector<std::vector<std::byte>>
    takeIf(monotonic_time now, const std::function<bool(std::span<const std::byte>)> &isSelected);

    bool isEmpty() const { return m_packets.empty(); }

private:
    struct pending_packet
    {
        std::vector<std::byte> bytes;
        monotonic_time arrivedAt {0};
    };

    pending_packet_queue_settings m_settings;
    std::deque<pending_packet> m_packets; ///< in order of arrival
    std::size_t m_bytes = 0;              ///< total size of all pending packets
};

} // namespace chicoryhead
