/**
 * @file answer_history_base.h
 * Recent answers, and since when the flows that they came on pass through this instance.
 */

#pragma once

#include "core/core_type.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace chicoryhead {

/**
 * Tells whether the fabric still sends the flows of some time ago to this instance. It moves nearly
 * all flows at once, so an answer on any of them shows that the others were not moved before it.
 */
class answer_history
{
public:
    /** Records an answer on a flow that this instance has tracked since a point in time. */
    void add(monotonic_time answeredAt, monotonic_time trackedSince)
    {
        m_answers.at(m_next) = {answeredAt, trackedSince};
        m_next = (m_next + 1) % capacity;
    }

    /** Whether a flow that was tracked at `trackedAt` got an answer after `answeredAfter`. */
    bool hasAnswer(monotonic_time trackedAt, monotonic_time answeredAfter) const
    {
        return std::any_of(m_answers.begin(), m_answers.end(), [&](const answer &recent) {
            return recent.trackedSince.count() > 0 && recent.trackedSince <= trackedAt
                && recent.answeredAt >= answeredAfter;
        });
    }

private:
    struct answer
    {
        monotonic_time answeredAt {0};
        monotonic_time trackedSince {0}; ///< 0 for an unused element
    };

    /// Answers that are kept. An instance that gets more of them within half of a target latency
    /// has enough recent ones among the last.
    static constexpr std::size_t capacity = 16;

    std::array<answer, capacity> m_answers {};
    std::size_t m_next = 0; ///< position of the next answer
};

} // namespace chicoryhead
