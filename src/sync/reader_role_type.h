/**
 * @file reader_role_type.h
 * How often an instance reads the store.
 */

#pragma once

#include <cstdint>

namespace chicoryhead {

/** Role of one instance of a failure domain in reading the store. */
enum class reader_role : std::uint8_t {
    None,    ///< receives changes from other instances
    Primary, ///< forwards changes to the other instances
    Backup,  ///< reads less often; its changes are needed when the primary does not respond
};

} // namespace chicoryhead
