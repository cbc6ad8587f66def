/**
 * @file status_documents.h
 * JSON status documents of an instance, for operators.
 */

#pragma once

#include "directory/directory_base.h"
#include "entry_metrics_base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/// Path of the status document of the instance.
inline constexpr std::string_view instancePath = "/v1/instance";
/// Path of the status document of the upstreams as the instance sees them.
inline constexpr std::string_view upstreamsPath = "/v1/upstreams";

/** Status of one upstream as one instance sees it. */
struct upstream_status
{
    const upstream_record *record = nullptr; ///< never null
    bool isSuspected = false;                ///< gets no new flows because it did not answer
    monotonic_time latency {0};              ///< moving average of its answer times; 0 if unknown
    std::uint64_t flows = 0;                 ///< recently observed by this instance
    std::string_view verdict = "answering";  ///< from the reports of all instances
};

/** Status of an instance. */
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
