/**
 * @file homes.cpp
 * Rendezvous choice of homes, cached per bucket.
 */

#include "flow/flow_type.h"
#include "homes_base.h"

#include <algorithm>
#include <iterator>

namespace chicoryhead {

namespace {

// Above this number of new members, refilling buckets on demand is cheaper than correcting them.
constexpr std::size_t maxCorrectedMembers = 64;

/**
 * Rendezvous score. The finalizer of MurmurHash3 is inlined, because a bucket scores thousands of
 * members.
 */
std::uint64_t scoreOf(std::size_t bucket, instance_id id)
{
    std::uint64_t score = bucket * 0x9e3779b97f4a7c15 + idValue(id) * 0xd6e8feb86659fd93;
    score ^= score >> 33;
    score *= 0xff51afd7ed558ccd;
    score ^= score >> 33;
    score *= 0xc4ceb9fe1a85ec53;
    return score ^ (score >> 33);
}

/** Whether a precedes b in the rendezvous order of a bucket. */
bool precedes(std::size_t bucket, instance_id a, instance_id b)
{
    if (b == noInstance)
        return true;
    // Equal scores are impossible: the score is a bijection of its input, which differs by id.
    return scoreOf(bucket, a) > scoreOf(bucket, b);
}

} // namespace

std::uint64_t homeScore(flow_hash hash, instance_id id)
{
    return scoreOf(homeBucket(hash), id);
}

home_table::home_table(const blackboard &board, const clock_source &clock, bool keepChanges)
    : m_board(board), m_clock(clock), m_keepChanges(keepChanges), m_buckets(homeBucketCount)
{
}

void home_table::add(bucket &homes, std::size_t index, const candidate &added)
{
    const candidate first = homes.first;
    if (precedes(index, added.id, first.id)) {
        const bool secondElsewhere =
            homes.second.id != noInstance && homes.second.domain != added.domain;
        homes.first = added;
        if (first.domain != added.domain || !secondElsewhere)
            homes.second = first;
        return;
    }
    const bool secondIsOther = homes.second.id != noInstance && homes.second.domain != first.domain;
    const bool addedIsOther = added.domain != first.domain;
    if (addedIsOther != secondIsOther) {
        if (addedIsOther || homes.second.id == noInstance)
            homes.second = added;
        return;
    }
    if (precedes(index, added.id, homes.second.id))
        homes.second = added;
}

void home_table::fill(std::size_t index)
{
    bucket &homes = m_buckets[index];
    homes.first = {};
    homes.second = {};
    homes.filled = true;
    if (m_ready.empty())
        return;

    m_scores.resize(m_ready.size());
    std::transform(m_ready.begin(), m_ready.end(), m_scores.begin(),
                   [&](const candidate &ready) { return scoreOf(index, ready.id); });
    const auto best = static_cast<std::size_t>(std::max_element(m_scores.begin(), m_scores.end())
                                               - m_scores.begin());
    const domain_id domain = m_ready[best].domain;
    std::size_t second = best;
    bool hasOther = false;
    for (std::size_t at = 0; at < m_ready.size(); ++at) {
        const bool isOther = m_ready[at].domain != domain;
        if (at == best || (hasOther && !isOther))
            continue;
        if (second == best || (isOther && !hasOther) || m_scores[at] > m_scores[second])
            second = at;
        hasOther = hasOther || isOther;
    }
    homes.first = m_ready[best];
    if (second != best)
        homes.second = m_ready[second];
}

void home_table::noteChange(std::size_t index, const bucket &before)
{
    bucket &homes = m_buckets[index];
    if (homes.first.id == before.first.id && homes.second.id == before.second.id)
        return;
    homes.changedAt = toFlowTime(m_clock.now());
    if (!m_keepChanges || homes.inChanges)
        return;
    homes.inChanges = true;
    m_changes.push_back({index, {before.first.id, before.second.id}});
}

void home_table::refresh()
{
    if (m_hasRevision && m_revision == m_board.membersRevision)
        return;
    m_revision = m_board.membersRevision;

    std::vector<candidate> ready;
    for (const auto &[id, one] : m_board.members) {
        if (one.state == member_state::Ready)
            ready.push_back({id, one.domain});
    }
    if (m_hasRevision && ready == m_ready)
        return;

    std::vector<candidate> added;
    std::vector<candidate> removed;
    std::set_difference(ready.begin(), ready.end(), m_ready.begin(), m_ready.end(),
                        std::back_inserter(added));
    std::set_difference(m_ready.begin(), m_ready.end(), ready.begin(), ready.end(),
                        std::back_inserter(removed));
    m_ready = std::move(ready);
    const auto isRemoved = [&](const candidate &home) {
        return std::binary_search(removed.begin(), removed.end(), home);
    };
    const bool refill = added.size() > maxCorrectedMembers;
    const flow_time now = toFlowTime(m_clock.now());
    for (std::size_t index = 0; index < m_buckets.size(); ++index) {
        bucket &homes = m_buckets[index];
        if (!homes.filled) {
            // Its homes were never asked for; the first start is no change.
            if (m_hasRevision)
                homes.changedAt = now;
            continue;
        }
        const bucket before = homes;
        if (refill || isRemoved(homes.first) || isRemoved(homes.second)) {
            fill(index);
        } else {
            for (const candidate &one : added)
                add(homes, index, one);
        }
        noteChange(index, before);
    }
    m_hasRevision = true;
}

flow_homes home_table::bucketHomes(std::size_t index)
{
    refresh();
    bucket &homes = m_buckets[index];
    if (!homes.filled)
        fill(index);
    return {homes.first.id, homes.second.id};
}

monotonic_time home_table::changedAt(flow_hash hash)
{
    refresh();
    const flow_time now = toFlowTime(m_clock.now());
    const std::uint32_t changed = m_buckets[homeBucket(hash)].changedAt;
    if (changed == 0)
        return monotonic_time {0};
    return m_clock.now() - std::chrono::milliseconds(std::uint64_t {now - changed} * 10);
}

flow_homes home_table::homesWith(flow_hash hash, const member &joining)
{
    flowHomes(hash);
    const std::size_t index = homeBucket(hash);
    bucket homes = m_buckets[index];
    add(homes, index, {joining.id, joining.domain});
    return {homes.first.id, homes.second.id};
}

std::vector<home_change> home_table::takeChanges()
{
    refresh();
    for (const home_change &change : m_changes)
        m_buckets[change.bucket].inChanges = false;
    return std::exchange(m_changes, {});
}

} // namespace chicoryhead
