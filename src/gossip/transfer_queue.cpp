/**
 * @file transfer_queue.cpp
 * Token bucket shared by all transfers.
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
    , m_tokens(static_cast<double>(limits.burstBytes))
    , m_refilledAt(clock.now())
{
}

bool transfer_queue::enqueue(const endpoint &target, std::uint64_t nonce,
                             std::vector<std::byte> state)
{
    std::erase_if(m_transfers, [&](const transfer &other) { return other.target == target; });
    if (m_transfers.size() >= m_limits.maxTransfers) {
        ++m_refusedCount;
        return false;
    }
    m_transfers.push_back({target, nonce, std::move(state), 0});
    flush();
    return true;
}

void transfer_queue::flush()
{
    const auto now = m_clock.now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_tokens + seconds * static_cast<double>(m_limits.bytesPerSecond),
                        static_cast<double>(m_limits.burstBytes));
    while (!m_transfers.empty() && m_tokens > 0) {
        transfer next = std::move(m_transfers.front());
        m_transfers.pop_front();
        if (!sendNextFragment(next))
            m_transfers.push_back(std::move(next));
    }
}

/// Returns whether it was the last fragment.
bool transfer_queue::sendNextFragment(transfer &next)
{
    const std::size_t fragmentCount = (next.bytes.size() + maxFragmentBytes - 1) / maxFragmentBytes;
    const std::size_t offset = next.nextFragment * maxFragmentBytes;
    const std::size_t size = std::min(maxFragmentBytes, next.bytes.size() - offset);
    gossip_state_fragment fragment {next.nonce,
                                    static_cast<std::uint16_t>(next.nextFragment),
                                    static_cast<std::uint16_t>(fragmentCount),
                                    {}};
    const auto *first = reinterpret_cast<const std::uint8_t *>(next.bytes.data()) + offset;
    fragment.bytes.assign(first, first + size);
    const auto datagram = encodeGossip(fragment);
    m_sink.sendToPeer(next.target, datagram);
    m_tokens -= static_cast<double>(datagram.size());
    return ++next.nextFragment == fragmentCount;
}

} // namespace chicoryhead
