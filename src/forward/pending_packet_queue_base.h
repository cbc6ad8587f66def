/**
 * @file pending_packet_queue_base.h
 * Packets that arrive before this instance knows where they go.
 */

#pragma once

#include "core/core_type.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace chicoryhead {

/** Bounds of the arrival queue. */
struct pending_packet_queue_settings
{
    /// An instance that starts reads the store within a few hundred milliseconds. Callers repeat a
    /// packet that they miss for longer, and after this time both copies would be sent on.
    monotonic_time maxAge = std::chrono::milliseconds(1000);
    std::size_t maxBytes = 262144;
};

/**
 * Holds packets from the start of the process until it has a configuration. A caller waits up to
 * 1.6 s before it repeats a packet, which is longer than a restart takes.
 */
class pending_packet_queue
{
public:
    explicit pending_packet_queue(pending_packet_queue_settings settings = {})
        : m_settings(settings)
    {
    }

    /** Adds a packet; returns false when there is no room. */
    bool add(std::span<const std::byte> packet, monotonic_time now);

    /** Takes the packets that are still worth sending on, oldest first. */
    std::vector<std::vector<std::byte>> takeAll(monotonic_time now);

    /** Takes the packets that a function chooses and that are still worth sending on. */
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
    std::size_t m_bytes = 0;              ///< of all packets that wait
};

} // namespace chicoryhead
