/**
 * @file pending_packet_queue.cpp
 * Queue of packets, bounded by size and age.
 */

#include "pending_packet_queue_base.h"

#include <utility>

namespace chicoryhead {

bool pending_packet_queue::add(std::span<const std::byte> packet, monotonic_time now)
{
    if (m_bytes + packet.size() > m_settings.maxBytes)
        return false;
    m_packets.push_back({{packet.begin(), packet.end()}, now});
    m_bytes += packet.size();
    return true;
}

std::vector<std::vector<std::byte>> pending_packet_queue::takeAll(monotonic_time now)
{
    return takeIf(now, [](std::span<const std::byte> /*packet*/) { return true; });
}

std::vector<std::vector<std::byte>>
pending_packet_queue::takeIf(monotonic_time now,
                             const std::function<bool(std::span<const std::byte>)> &isSelected)
{
    std::vector<std::vector<std::byte>> unexpired;
    std::deque<pending_packet> remaining;
    m_bytes = 0;
    for (pending_packet &packet : m_packets) {
        if (now - packet.arrivedAt > m_settings.maxAge)
            continue;
        if (isSelected(packet.bytes)) {
            unexpired.push_back(std::move(packet.bytes));
        } else {
            m_bytes += packet.bytes.size();
            remaining.push_back(std::move(packet));
        }
    }
    m_packets = std::move(remaining);
    return unexpired;
}

} // namespace chicoryhead
