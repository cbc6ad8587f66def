/**
 * @file duplicate_openings.cpp
 * Bounded set of opening packets that were sent to more than one upstream.
 */

#include "duplicate_openings_base.h"

#include <algorithm>

namespace chicoryhead {

void duplicate_openings::add(const flow_key &flow, std::uint32_t sequence,
                             std::span<const std::byte> bytes, monotonic_time now)
{
    const bool isKnown = m_entries.contains(flow);
    if (bytes.size() != openingPacketBytes || (!isKnown && m_entries.size() >= maxEntries))
        return;
    kept_opening &entry = m_entries[flow];
    const bool isSameFlow = isKnown && entry.sequence == sequence;
    entry.corrections = isSameFlow ? entry.corrections : 0;
    entry.sequence = sequence;
    entry.addedAt = now;
    std::copy(bytes.begin(), bytes.end(), entry.bytes.begin());
}

const opening_bytes *duplicate_openings::takeCorrection(const flow_key &flow,
                                                        std::uint32_t sequence)
{
    const auto found = m_entries.find(flow);
    if (found == m_entries.end() || found->second.sequence != sequence
        || found->second.corrections >= maxCorrections)
        return nullptr;
    ++found->second.corrections;
    return &found->second.bytes;
}

void duplicate_openings::expire(monotonic_time now)
{
    std::erase_if(m_entries,
                  [&](const auto &entry) { return now - entry.second.addedAt > maxAge; });
}

} // namespace chicoryhead
