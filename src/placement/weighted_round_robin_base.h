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

/** Takes upstreams in turn, each as often as its weight says. */
class upstream_rotation
{
public:
    using weight_function = std::function<double(upstream_id)>;

    /** @param start where this instance begins in the common order of upstreams, from 0 to 1. */
    upstream_rotation(const upstream_directory &directory, double start)
        : m_directory(directory), m_start(start)
    {
    }

    void setStart(double start) { m_start = start; }

    /** Takes the next one of some upstreams; at least one. */
    upstream_id take(std::span<const upstream_id> options, const weight_function &weightOf);

    void forget(upstream_id upstream) { m_credits.erase(upstream); }

private:
    void enrol(std::span<const upstream_id> options);

    const upstream_directory &m_directory;
    double m_start;
    /// The highest one is taken next; those of all options that took part sum up to a constant.
    std::unordered_map<upstream_id, double> m_credits;
};

} // namespace chicoryhead
