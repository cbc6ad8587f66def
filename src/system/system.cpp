/**
 * @file system.cpp
 * System clock.
 */

#include "system_base.h"

#include <time.h>

namespace chicoryhead {

monotonic_time boot_clock_source::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<monotonic_time>(std::chrono::seconds(time.tv_sec)
                                                      + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace chicoryhead
