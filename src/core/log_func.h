/**
 * @file log_func.h
 * Form of log lines: one line of key=value pairs for each event.
 */

#pragma once

#include "core_type.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace chicoryhead {

/** One key=value pair; the value is quoted when it contains spaces, quotes or is empty. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/**
 * Formats an event as one line without line end.
 * @param event stable name in snake case, for example "config_applied".
 */
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/** Whole milliseconds of a duration, as digits. */
std::string formatMilliseconds(monotonic_time duration);

} // namespace chicoryhead
