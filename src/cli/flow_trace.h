/**
 * @file flow_trace.h
 * Extracts the log lines about one flow and derives findings from them.
 *
 * A line is "[TIME INSTANCE] t_ms=… event=… key=value …"; the log collector adds the
 * part in brackets. The clocks of instances are unrelated, so lines of different instances
 * can only be ordered by the collector's timestamp.
 */

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** A parsed log line. */
struct log_line
{
    std::string text;                          ///< unmodified line
    std::string instance;                      ///< from the collector, otherwise the file name
    std::optional<double> collectedAt;         ///< collector's timestamp in seconds
    std::map<std::string, std::string> fields; ///< without t_ms

    /** Returns the value of a field, or an empty string if it is missing. */
    const std::string &field(const std::string &key) const;
};

/** Parses a line; returns nothing if an instance did not write it. */
std::optional<log_line> parseLogLine(std::string_view text, const std::string &file);

/** Result of tracing a flow or request. */
struct flow_trace
{
    std::vector<std::string> flows; ///< flows that carried the request, or the flow itself
    std::vector<log_line> lines; ///< ordered by the collector's timestamp, otherwise in input order
    std::vector<std::string> findings;
    bool isOrdered = true; ///< all lines have a collector's timestamp
};

/**
 * Selects the lines about a flow ("ip:port>ip:port") or about the flows of a request, and related
 * lines: state changes of their upstreams, and events of the instances that handled them.
 */
flow_trace traceFlow(const std::vector<log_line> &log, const std::string &flowOrRequest);

} // namespace chicoryhead
