/**
 * @file flow.cpp
 * Flow table: probing, eviction and expiry.
 */

#include "flow_base.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>

namespace chicoryhead {

namespace {

constexpr std::size_t groupSize = 8;

// At 5/8 load both groups of a hash are full for under 1% of the flows, and a flow takes 40 bytes.
constexpr std::size_t loadNumerator = 5;
constexpr std::size_t loadDenominator = 8;

constexpr std::uint64_t lowBits = 0x0101010101010101;
constexpr std::uint64_t highBits = 0x8080808080808080;

constexpr std::array<flow_time, 4> idleTimeouts {
    flowDuration(std::chrono::seconds(30)), flowDuration(std::chrono::hours(4)),
    flowDuration(std::chrono::seconds(60)), flowDuration(std::chrono::minutes(5))};

/** Tag of a hash: never 0, which marks a free entry. */
std::uint8_t tagOf(flow_hash hash)
{
    return static_cast<std::uint8_t>(hash & 0x7f) | 0x80;
}

/** High bit of each byte that may be 0; the lowest such bit is exact. */
std::uint64_t zeroBytes(std::uint64_t word)
{
    return (word - lowBits) & ~word & highBits;
}

/** Maps a 32-bit value to [0, range) without a division. */
std::size_t scale(std::uint32_t value, std::size_t range)
{
    return static_cast<std::size_t>((static_cast<std::uint64_t>(value) * range) >> 32);
}

} // namespace

flow_table::flow_table(std::size_t maxFlows) : m_maxFlows(std::max<std::size_t>(maxFlows, 1))
{
    const std::size_t entries = m_maxFlows * loadDenominator / loadNumerator;
    const std::size_t groups = std::max<std::size_t>((entries + groupSize - 1) / groupSize, 2);
    m_tags.resize(groups);
    m_entries.resize(groups * groupSize);
}

std::size_t flow_table::firstGroup(flow_hash hash) const
{
    return scale(static_cast<std::uint32_t>(hash >> 32), m_tags.size());
}

std::size_t flow_table::secondGroup(flow_hash hash) const
{
    // The product spreads the tag's bits too, so that equal first groups differ in the second.
    const std::uint64_t mixed = hash * 0x9e3779b97f4a7c15;
    return scale(static_cast<std::uint32_t>(mixed >> 32), m_tags.size());
}

flow_entry *flow_table::findIn(std::size_t group, flow_hash hash)
{
    std::uint64_t matches = zeroBytes(m_tags[group] ^ (lowBits * tagOf(hash)));
    while (matches) {
        const auto at = static_cast<std::size_t>(std::countr_zero(matches)) / 8;
        flow_entry &entry = m_entries[group * groupSize + at];
        if (entry.hash == hash)
            return &entry;
        matches &= matches - 1;
    }
    return nullptr;
}

flow_entry *flow_table::find(flow_hash hash)
{
    if (flow_entry *entry = findIn(firstGroup(hash), hash))
        return entry;
    return findIn(secondGroup(hash), hash);
}

flow_entry *flow_table::freeEntry(std::size_t group)
{
    const std::uint64_t free = ~m_tags[group] & highBits;
    if (!free)
        return nullptr;
    return &m_entries[group * groupSize + static_cast<std::size_t>(std::countr_zero(free)) / 8];
}

void flow_table::setTag(const flow_entry &entry, std::uint8_t tag)
{
    const auto index = static_cast<std::size_t>(&entry - m_entries.data());
    const std::size_t shift = index % groupSize * 8;
    std::uint64_t &word = m_tags[index / groupSize];
    word = (word & ~(std::uint64_t {0xff} << shift)) | (std::uint64_t {tag} << shift);
}

flow_entry *flow_table::evict(std::span<const std::size_t> groups, flow_time now)
{
    flow_entry *oldest = nullptr;
    for (const std::size_t group : groups) {
        for (std::size_t at = 0; m_tags[group] && at < groupSize; ++at) {
            if (!(m_tags[group] >> (at * 8) & 0xff))
                continue;
            flow_entry &entry = m_entries[group * groupSize + at];
            if (!oldest || now - entry.seenAt > now - oldest->seenAt)
                oldest = &entry;
        }
    }
    if (!oldest)
        return nullptr;
    erase(*oldest);
    ++m_evictions;
    return oldest;
}

flow_entry &flow_table::insert(flow_hash hash, upstream_id upstream, flow_state state,
                               flow_time now)
{
    flow_entry *entry = find(hash);
    if (entry)
        erase(*entry);

    const std::size_t first = firstGroup(hash);
    const std::size_t second = secondGroup(hash);
    if (m_size >= m_maxFlows) {
        // The probed groups may hold a few busy flows only; two more groups, which go round the
        // table, make it likely that an idle flow is among the candidates.
        m_hand = (m_hand + 2) % m_tags.size();
        evict(std::array {first, second, m_hand, (m_hand + 1) % m_tags.size()}, now);
    }
    entry = freeEntry(first);
    if (!entry)
        entry = freeEntry(second);
    if (!entry)
        entry = evict(std::array {first, second}, now);
    assert(entry);

    *entry = {hash, upstream, now, now, state};
    setTag(*entry, tagOf(hash));
    ++m_size;
    ++m_counts[upstream];
    return *entry;
}

void flow_table::setUpstream(flow_entry &entry, upstream_id upstream)
{
    if (entry.upstream == upstream)
        return;
    const auto count = m_counts.find(entry.upstream);
    if (--count->second == 0)
        m_counts.erase(count);
    ++m_counts[upstream];
    entry.upstream = upstream;
}

void flow_table::erase(flow_entry &entry)
{
    const auto count = m_counts.find(entry.upstream);
    assert(count != m_counts.end());
    if (--count->second == 0)
        m_counts.erase(count);
    setTag(entry, 0);
    --m_size;
}

std::size_t flow_table::expire(flow_time now, std::size_t groups)
{
    std::size_t removed = 0;
    for (std::size_t step = 0; step < std::min(groups, m_tags.size()); ++step) {
        for (std::size_t at = 0; m_tags[m_cursor] && at < groupSize; ++at) {
            if (!(m_tags[m_cursor] >> (at * 8) & 0xff))
                continue;
            flow_entry &entry = m_entries[m_cursor * groupSize + at];
            if (now - entry.seenAt < idleTimeout(entry.state))
                continue;
            erase(entry);
            ++removed;
        }
        m_cursor = (m_cursor + 1) % m_tags.size();
    }
    return removed;
}

std::size_t flow_table::memoryBytes() const
{
    return m_entries.size() * sizeof(flow_entry) + m_tags.size() * sizeof(std::uint64_t);
}

std::vector<std::pair<upstream_id, std::uint32_t>> flow_table::countFlows() const
{
    std::vector<std::pair<upstream_id, std::uint32_t>> counts(m_counts.begin(), m_counts.end());
    std::sort(counts.begin(), counts.end());
    return counts;
}

flow_time flow_table::idleTimeout(flow_state state)
{
    return idleTimeouts[static_cast<std::size_t>(state)];
}

} // namespace chicoryhead
