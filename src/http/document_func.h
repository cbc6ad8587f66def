/**
 * @file document_func.h
 * JSON documents about instances, upstreams and flows, rendered from the blackboard.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "steering/steering_base.h"

#include <cstddef>
#include <span>
#include <string>

namespace chicoryhead {

/**
 * {"self": id, "version": version in force here, "instances": [{"id", "address", "domain",
 * "state", "version", "incarnation", "since_ms"}]}, ascending by id. A member's version is the last
 * one it reported; since_ms is the time in its state.
 */
std::string renderInstances(const blackboard &board, monotonic_time now);

/**
 * {"version", "upstreams": [{"service", "id", "name", "domain", "address", "mode", "weight",
 * "slots", "condition", "load", "report_age_ms", "leaving_since", "final_time"}]}. "load" (slots in
 * use as a fraction) and "report_age_ms" are null before the first report; the times are seconds
 * since 1970, null when unset.
 */
std::string renderUpstreams(const blackboard &board, monotonic_time now);

/**
 * {"self", "version", "flows": all in the local table, "records", "upstreams": [{"service", "name",
 * "id", "mode", "flows"}]}. Every configured upstream has a row; one that was removed while it held
 * flows has "service" and "name" null.
 */
std::string renderFlows(const blackboard &board, std::span<const upstream_flow_count> flows,
                        std::size_t records);

} // namespace chicoryhead
