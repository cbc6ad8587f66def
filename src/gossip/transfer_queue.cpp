/**
 * @file transfer_queue.cpp
 * A token bucket over the parts of all transfers.
 */

#include "transfer_queue_base.h"

#include "gossip_codec_func.h"

#include <algorithm>
#include <utility>

namespace chicoryhead {

transfer_queue::transfer_queue(peer_sink &sink, const clock_source &clock, transfer_limits limits)
    : m_sink(sink)
    , m_clock(clock)
    , m_limits(limits)
    , m_allowance(static_cast<double>(limits.burstBytes))
    , m_allowanceAt(clock.now())
{
}

bool transfer_queue::add(const endpoint &target, std::uint64_t nonce, std::vector<std::byte> state)
{
    std::erase_if(m_transfers, [&](const transfer &other) { return other.target == target; });
    if (m_transfers.size() >= m_limits.maxTransfers) {
        ++m_refused;
        return false;
    }
    m_transfers.push_back({target, nonce, std::move(state), 0});
    flush();
    return true;
}

void transfer_queue::flush()
{
    const auto now = m_clock.now();
    const double seconds = std::chrono::duration<double>(now - m_allowanceAt).count();
    m_allowanceAt = now;
    m_allowance = std::min(m_allowance + seconds * static_cast<double>(m_limits.bytesPerSecond),
                           static_cast<double>(m_limits.burstBytes));
    while (!m_transfers.empty() && m_allowance > 0) {
        transfer next = std::move(m_transfers.front());
        m_transfers.pop_front();
        if (!sendNextPart(next))
            m_transfers.push_back(std::move(next));
    }
}

/// Returns whether it was the last part.
bool transfer_queue::sendNextPart(transfer &next)
{
    const std::size_t count = (next.bytes.size() + maxPartBytes - 1) / maxPartBytes;
    const std::size_t begin = next.nextPart * maxPartBytes;
    const std::size_t size = std::min(maxPartBytes, next.bytes.size() - begin);
    gossip_part part {next.nonce,
                      static_cast<std::uint16_t>(next.nextPart),
                      static_cast<std::uint16_t>(count),
                      {}};
    const auto *first = reinterpret_cast<const std::uint8_t *>(next.bytes.data()) + begin;
    part.bytes.assign(first, first + size);
    const auto datagram = encodeGossip(part);
    m_sink.sendToPeer(next.target, datagram);
    m_allowance -= static_cast<double>(datagram.size());
    return ++next.nextPart == count;
}

} // namespace chicoryhead
