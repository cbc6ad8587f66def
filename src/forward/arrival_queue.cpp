/**
 * @file arrival_queue.cpp
 * A bounded queue of packets.
 */

#include "arrival_queue_base.h"

#include <utility>

namespace chicoryhead {

bool arrival_queue::add(std::span<const std::byte> packet, monotonic_time now)
{
    if (m_bytes + packet.size() > m_settings.maxBytes)
        return false;
    m_packets.push_back({{packet.begin(), packet.end()}, now});
    m_bytes += packet.size();
    return true;
}

std::vector<std::vector<std::byte>> arrival_queue::take(monotonic_time now)
{
    std::vector<std::vector<std::byte>> fresh;
    for (waiting_packet &packet : m_packets) {
        if (now - packet.arrivedAt <= m_settings.maxAge)
            fresh.push_back(std::move(packet.bytes));
    }
    m_packets.clear();
    m_bytes = 0;
    return fresh;
}

} // namespace chicoryhead
