/**
 * @file status_documents.h
 * JSON documents that an instance shows to operators.
 */

#pragma once

#include "directory/directory_base.h"
#include "entry_metrics_base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/// Path of the document about the instance itself.
inline constexpr std::string_view instancePath = "/v1/instance";
/// Path of the document about the upstreams as the instance sees them.
inline constexpr std::string_view upstreamsPath = "/v1/upstreams";

/** What one instance knows of one upstream. */
struct upstream_status
{
    const upstream_record *record = nullptr; ///< never null
    bool isSuspected = false;                ///< gets no new flows because it did not answer
    monotonic_time latency {0};              ///< moving average of its answers; 0 when unknown
    std::uint64_t flows = 0;                 ///< of those seen lately by this instance
    std::string_view verdict = "answering";  ///< from what all instances saw
};

/** What an instance says of itself. */
struct instance_status
{
    std::string name;
    std::string domain;
    bool isStopping = false;
    bool isReader = false; ///< reads the store for its failure domain
    std::uint64_t revision = 0;
    entry_gauges gauges;
};

/** Renders the document of instancePath. */
std::string renderInstance(const instance_status &status);

/** Renders the document of upstreamsPath, sorted by service and name. */
std::string renderUpstreams(std::vector<upstream_status> statuses);

} // namespace chicoryhead
