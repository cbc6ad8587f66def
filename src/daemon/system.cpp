/**
 * @file system.cpp
 * Clocks of the machine.
 */

#include "system_base.h"

#include <chrono>

namespace chicoryhead {

monotonic_time system_clock_source::now() const
{
    return std::chrono::duration_cast<monotonic_time>(
        std::chrono::steady_clock::now().time_since_epoch());
}

wall_time system_clock_source::wallNow() const
{
    return std::chrono::duration_cast<wall_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace chicoryhead
