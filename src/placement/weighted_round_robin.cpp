/**
 * @file placement/weighted_round_robin.cpp
 * Credits of upstreams.
 */

#include "weighted_round_robin_base.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace chicoryhead {

upstream_id upstream_rotation::take(std::span<const upstream_id> options,
                                    const weight_function &weightOf)
{
    assert(!options.empty());
    enrol(options);
    double total = 0;
    double *chosen = nullptr;
    upstream_id chosenId = noUpstream;
    for (const upstream_id id : options) {
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

/// Gives upstreams that are new here their first credits: the highest to the one at which this
/// instance begins, lower ones to those that follow in the common order.
void upstream_rotation::enrol(std::span<const upstream_id> options)
{
    const bool isComplete = std::all_of(options.begin(), options.end(),
                                        [this](upstream_id id) { return m_credits.contains(id); });
    if (isComplete)
        return;
    std::vector<const upstream_record *> ordered;
    for (const upstream_id id : options)
        ordered.push_back(m_directory.find(id));
    std::sort(ordered.begin(), ordered.end(),
              [](const auto *one, const auto *other) { return one->tag < other->tag; });
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        const double place = static_cast<double>(i) / static_cast<double>(ordered.size());
        const double distance = place < m_start ? place - m_start + 1 : place - m_start;
        m_credits.try_emplace(ordered[i]->id, 1 - distance);
    }
}

} // namespace chicoryhead
