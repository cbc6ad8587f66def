/**
 * @file placement/weighted_round_robin.cpp
 * Credit accounting of the smooth weighted round robin.
 */

#include "weighted_round_robin_base.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace chicoryhead {

upstream_id weighted_round_robin::selectNext(std::span<const upstream_id> candidates,
                                             const weight_function &weightOf)
{
    assert(!candidates.empty());
    initializeCredits(candidates);
    double total = 0;
    double *chosen = nullptr;
    upstream_id chosenId = noUpstream;
    for (const upstream_id id : candidates) {
        const double weight = weightOf(id);
        double &credit = m_credits[id];
        credit += weight;
        total += weight;
        if (chosen == nullptr || credit > *chosen) {
            chosen = &credit;
            chosenId = id;
        }
    }
    *chosen -= total;
    return chosenId;
}

weighted_round_robin weighted_round_robin::copyOf(std::span<const upstream_id> candidates) const
{
    weighted_round_robin copy(m_directory, m_startOffset);
    for (const upstream_id id : candidates) {
        if (const auto found = m_credits.find(id); found != m_credits.end())
            copy.m_credits.insert(*found);
    }
    return copy;
}

/// Sets the initial credits of new upstreams: the highest for the one at the start position of this
/// instance, lower ones for those that follow in the order by tag, which all instances share.
void weighted_round_robin::initializeCredits(std::span<const upstream_id> candidates)
{
    const bool isComplete = std::all_of(candidates.begin(), candidates.end(),
                                        [this](upstream_id id) { return m_credits.contains(id); });
    if (isComplete)
        return;
    std::vector<const upstream_record *> ordered;
    for (const upstream_id id : candidates)
        ordered.push_back(m_directory.find(id));
    std::sort(ordered.begin(), ordered.end(),
              [](const auto *one, const auto *other) { return one->tag < other->tag; });
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        const double offset = static_cast<double>(i) / static_cast<double>(ordered.size());
        const double distance =
            offset < m_startOffset ? offset - m_startOffset + 1 : offset - m_startOffset;
        m_credits.try_emplace(ordered[i]->id, 1 - distance);
    }
}

} // namespace chicoryhead
