/**
 * @file trace_type.h
 * A recorded trace of one instance: its settings, its inputs and the outcome of each input.
 *
 * docs/replay.md describes the text format.
 */

#pragma once

#include "instance/instance_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/// Key that signs the peer datagrams of every trace, in place of the deployment's own.
inline constexpr const char *tracePeerKey = "replay";

/** What a trace says before its first event. */
struct trace_header
{
    instance_settings settings;  ///< the peer key is not written; a trace read has tracePeerKey
    std::uint64_t seed = 0;      ///< of the instance's random source (64-bit Mersenne twister)
    std::int64_t wallOffset = 0; ///< wall-clock time minus monotonic time, in microseconds
    monotonic_time start {0};    ///< when the instance was built
};

/** One input with its outcomes. */
struct trace_event
{
    std::size_t line = 0; ///< in the file, from 1
    monotonic_time time {0};
    std::vector<std::string> words; ///< name of the input, then its arguments
    std::vector<std::string> outcomes;
};

/** A trace. */
struct trace
{
    trace_header header;
    std::vector<trace_event> events;
};

/** Takes what a recorded instance is told and does. */
class trace_sink
{
public:
    virtual ~trace_sink() = default;

    /** An input begins. */
    virtual void onInput(monotonic_time time, const std::string &text) = 0;

    /** An outcome of the last input. */
    virtual void onOutcome(const std::string &text) = 0;
};

} // namespace chicoryhead
