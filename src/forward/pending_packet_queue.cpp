/**
 * @file pending_packet_queue.cpp
 * A bounded queue of packets.
 */

#include "pending_packet_queue_base.h"

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
    return takeIf(now, [](std::span<const std::byte> /*packet*/) { return true; });
}

std::vector<std::vector<std::byte>>
arrival_queue::takeIf(monotonic_time now,
                      const std::function<bool(std::span<const std::byte>)> &isChosen)
{
    std::vector<std::vector<std::byte>> fresh;
    std::deque<waiting_packet> kept;
    m_bytes = 0;
    for (waiting_packet &packet : m_packets) {
        if (now - packet.arrivedAt > m_settings.maxAge)
            continue;
        if (isChosen(packet.bytes)) {
            fresh.push_back(std::move(packet.bytes));
        } else {
            m_bytes += packet.bytes.size();
            kept.push_back(std::move(packet));
        }
    }
    m_packets = std::move(kept);
    return fresh;
}

} // namespace chicoryhead
