/**
 * @file graceful_shutdown.cpp
 * Conditions for the end of a process.
 */

#include "graceful_shutdown_base.h"

namespace chicoryhead {

void stop_sequence::begin(monotonic_time now)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_begunAt = now;
}

bool stop_sequence::mayEnd(monotonic_time packetAt, monotonic_time now) const
{
    if (!m_isStopping)
        return false;
    const auto elapsed = now - m_begunAt;
    if (elapsed >= m_settings.grace - m_settings.reserve)
        return true;
    return elapsed >= m_settings.rotationTime && now - packetAt >= m_settings.quietTime;
}

} // namespace chicoryhead
