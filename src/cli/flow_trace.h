/**
 * @file flow_trace.h
 * Finds what the logs of instances say of one flow.
 *
 * A line is "[TIME INSTANCE] t_ms=… event=… key=value …"; the collector writes the part in
 * brackets. The clocks of instances have nothing to do with each other, so only the collector's
 * time orders lines of several instances.
 */

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** One line of a log. */
struct log_line
{
    std::string text;                          ///< as it was read
    std::string instance;                      ///< from the collector, else the name of the file
    std::optional<double> collectedAt;         ///< collector's time in seconds
    std::map<std::string, std::string> fields; ///< without t_ms

    /** Value of a field; empty when it is missing. */
    const std::string &field(const std::string &key) const;
};

/** Parses a line; nothing when it is no line of an instance. */
std::optional<log_line> parseLogLine(std::string_view text, const std::string &file);

/** What the logs say of one flow or request. */
struct flow_trace
{
    std::vector<std::string> flows; ///< that the request was seen on, or the flow itself
    std::vector<log_line> lines;    ///< in order of the collector's time, else of reading
    std::vector<std::string> findings;
    bool isOrdered = true; ///< all lines have a collector's time
};

/**
 * Collects the lines about a flow ("ip:port>ip:port") or the flows of a request, and those that
 * explain them: changes of their upstreams, and what happened to the instances that handled them.
 */
flow_trace traceFlow(const std::vector<log_line> &log, const std::string &flowOrRequest);

} // namespace chicoryhead
