/**
 * @file reader_role_type.h
 * How much an instance reads the store.
 */

#pragma once

#include <cstdint>

namespace chicoryhead {

/** Duty of one instance of a failure domain. */
enum class reader_role : std::uint8_t {
    None,    ///< learns from other instances
    Primary, ///< brings changes to the others
    Backup,  ///< reads less often; its changes count when the first reader is silent
};

} // namespace chicoryhead
