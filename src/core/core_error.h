/**
 * @file core_error.h
 * Error codes of the library.
 */

#pragma once

#include <system_error>

namespace chicoryhead {

/** Errors returned by operations of the library. */
enum class error {
    Truncated = 1,    ///< input ends before a field that it declares
    Malformed,        ///< input violates its format
    Unsupported,      ///< unknown format version
    VersionConflict,  ///< a change is not based on the latest version
    Rejected,         ///< store rejected the change
    StoreUnavailable, ///< store did not answer; nothing was written
    OutcomeUnknown,   ///< store may or may not have carried out the write
    NotFound,         ///< no such object
    Timeout,          ///< deadline exceeded
    HistoryLost,      ///< store no longer has the requested changes
    Throttled,        ///< store rejected the call because of its rate limit
};

/** Category of the library's error codes. */
const std::error_category &errorCategory();

/** Creates a std::error_code; found by argument-dependent lookup. */
std::error_code make_error_code(error code); // NOLINT(readability-identifier-naming): std name

} // namespace chicoryhead

template<>
struct std::is_error_code_enum<chicoryhead::error> : std::true_type
{
};
