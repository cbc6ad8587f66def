/**
 * @file log_func.h
 * Structured log: one line of key=value pairs for each event, written by glog.
 */

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace chicoryhead {

/** Severity of a log line. */
enum class log_level { Info, Warning, Error };

/** One key=value pair; the value is quoted when it contains spaces, quotes or is empty. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/**
 * Writes one event.
 * @param event stable name in snake case, for example "config_applied".
 */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Formats an event as logEvent() writes it. */
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

} // namespace chicoryhead
