/**
 * @file latency_histogram.cpp
 * Implements the latency histogram with Boost.Histogram, which only this file includes.
 */

#include "latency_histogram_base.h"

#include <boost/histogram/axis/option.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace chicoryhead {

namespace {

/// Needs an overflow bin but no underflow bin, as durations are never negative.
using bounds_axis = boost::histogram::axis::variable<double, boost::histogram::axis::null_type,
                                                     boost::histogram::axis::option::overflow_t>;
using counts_histogram =
    boost::histogram::histogram<std::tuple<bounds_axis>,
                                boost::histogram::dense_storage<std::uint64_t>>;

bounds_axis makeAxis(std::span<const std::chrono::nanoseconds> bounds)
{
    // An interval of the axis excludes its upper edge, but a Prometheus bucket includes it.
    // Durations are whole nanoseconds, so an edge 1 ns higher makes the bound inclusive.
    std::vector<double> edges {0.0};
    for (const auto bound : bounds)
        edges.push_back(static_cast<double>(bound.count() + 1));
    return bounds_axis(edges);
}

} // namespace

struct latency_histogram::storage
{
    counts_histogram counts;
};

latency_histogram::latency_histogram(std::span<const std::chrono::nanoseconds> bounds)
    : m_bounds(bounds)
    , m_storage(std::make_unique<storage>(storage {counts_histogram(makeAxis(bounds))}))
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram &&other) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&other) noexcept = default;

void latency_histogram::record(std::chrono::nanoseconds duration)
{
    assert(m_storage);
    duration = std::max(duration, std::chrono::nanoseconds {0});
    m_storage->counts(static_cast<double>(duration.count()));
    m_sum += duration;
}

std::vector<std::uint64_t> latency_histogram::counts() const
{
    std::vector<std::uint64_t> counts;
    for (std::size_t i = 0; i <= m_bounds.size(); ++i)
        counts.push_back(m_storage->counts.at(static_cast<int>(i)));
    return counts;
}

} // namespace chicoryhead
