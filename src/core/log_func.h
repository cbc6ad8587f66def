/**
 * @file log_func.h
 * Structured logging: one line of key=value pairs per event.
 */

#pragma once

#include "core_type.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace chicoryhead {

/** One key=value pair; values that are empty or contain spaces, quotes or similar are quoted. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/**
 * Formats an event as one line, without a newline.
 * @param event stable name in snake_case, for example "config_applied".
 */
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/** Formats a duration as a whole number of milliseconds. */
std::string formatMilliseconds(monotonic_time duration);

} // namespace chicoryhead
