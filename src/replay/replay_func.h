/**
 * @file replay_func.h
 * Replays a trace against the core of an instance.
 */

#pragma once

#include "trace_type.h"

#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** The first event whose outcomes differ from the trace. */
struct replay_difference
{
    std::size_t event = 0; ///< index in trace::events
    std::string message;   ///< what was expected and what happened
};

/** Drives an instance with the inputs of a trace; none when all outcomes are as stated. */
std::optional<replay_difference> replayTrace(const trace &recorded);

/** Text of a difference with the events around it, for a person. */
std::string describeDifference(const trace &recorded, const replay_difference &difference);

} // namespace chicoryhead
