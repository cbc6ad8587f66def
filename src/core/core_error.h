/**
 * @file core_error.h
 * Error codes of the library, with their table of messages.
 */

#pragma once

#include <system_error>

namespace chicoryhead {

/** Reasons for which an operation of the library fails. */
enum class error {
    Truncated = 1,    ///< input ends before a field that it announces
    Malformed,        ///< input breaks its format
    Unsupported,      ///< format version that is not handled
    VersionConflict,  ///< a change is not based on the newest version
    Rejected,         ///< store does not accept the change
    StoreUnavailable, ///< store did not answer; nothing was written
    OutcomeUnknown,   ///< store may have carried out the write
    NotFound,         ///< no such object
    Timeout,          ///< deadline passed
    HistoryLost,      ///< store no longer has the changes that were asked for
    Throttled,        ///< store refused the call because of its rate limit
};

/** Category of all codes of the library. */
const std::error_category &errorCategory();

/** Makes a std::error_code; found by argument-dependent lookup. */
std::error_code make_error_code(error code); // NOLINT(readability-identifier-naming): std name

} // namespace chicoryhead

template<>
struct std::is_error_code_enum<chicoryhead::error> : std::true_type
{
};
