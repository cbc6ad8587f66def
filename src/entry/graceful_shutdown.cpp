/**
 * @file graceful_shutdown.cpp
 * Exit conditions of a stopping process.
 */

#include "graceful_shutdown_base.h"

namespace chicoryhead {

void graceful_shutdown::begin(monotonic_time now)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_beganAt = now;
}

bool graceful_shutdown::mayExit(monotonic_time lastPacketAt, monotonic_time now) const
{
    if (!m_isStopping)
        return false;
    const auto elapsed = now - m_beganAt;
    if (elapsed >= m_settings.gracePeriod - m_settings.exitReserve)
        return true;
    return elapsed >= m_settings.rotationRemovalTime
        && now - lastPacketAt >= m_settings.quietPeriod;
}

} // namespace chicoryhead
