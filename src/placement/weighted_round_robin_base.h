/**
 * @file placement/weighted_round_robin_base.h
 * Smooth weighted round robin.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"

#include <cstddef>
#include <functional>
#include <span>
#include <unordered_map>

namespace chicoryhead {

/** Selects upstreams in turn, each in proportion to its weight. */
class weighted_round_robin
{
public:
    using weight_function = std::function<double(upstream_id)>;

    /** @param startOffset start position in the order of upstreams by tag, from 0 to 1. */
    weighted_round_robin(const upstream_directory &directory, double startOffset)
        : m_directory(directory), m_startOffset(startOffset)
    {
    }

    void setStartOffset(double startOffset) { m_startOffset = startOffset; }

    /** Selects the next upstream; `candidates` must not be empty. */
    upstream_id selectNext(std::span<const upstream_id> candidates,
                           const weight_function &weightOf);

    /** A copy with some of the upstreams, to find out what it would select. */
    weighted_round_robin copyOf(std::span<const upstream_id> candidates) const;

    void forget(upstream_id upstream) { m_credits.erase(upstream); }

private:
    void initializeCredits(std::span<const upstream_id> candidates);

    const upstream_directory &m_directory;
    double m_startOffset;
    /// The upstream with the highest credit is next. A selection leaves the sum of the candidates'
    /// credits unchanged.
    std::unordered_map<upstream_id, double> m_credits;
};

} // namespace chicoryhead
