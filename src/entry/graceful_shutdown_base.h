/**
 * @file graceful_shutdown_base.h
 * Decides when a stopping process may exit.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>

namespace chicoryhead {

/** Times of a graceful shutdown. */
struct shutdown_settings
{
    /// The fabric checks readiness twice per second and takes an instance out of rotation after
    /// two failed checks, in all deployments.
    monotonic_time rotationRemovalTime = std::chrono::milliseconds(1500);
    /// After this long without a packet the fabric is assumed to send none any more.
    monotonic_time quietPeriod = std::chrono::milliseconds(300);
    monotonic_time gracePeriod = std::chrono::seconds(6); ///< until the process is killed
    /// Part of the grace period that is left for the exit of a slow instance.
    monotonic_time exitReserve = std::chrono::seconds(1);
};

/**
 * A stopping instance reports that it is not ready and keeps forwarding until the fabric has taken
 * it out of rotation, so that no packet is lost.
 */
class graceful_shutdown
{
public:
    explicit graceful_shutdown(shutdown_settings settings = {}) : m_settings(settings) { }

    /** Replaces the times, also of a shutdown that has begun. */
    void setSettings(const shutdown_settings &settings) { m_settings = settings; }

    /** Starts the shutdown; has no effect if it was started before. */
    void begin(monotonic_time now);

    bool isStopping() const { return m_isStopping; }

    /**
     * Whether the fabric sends no more packets, or nothing but the reserve of the grace is left.
     * @param lastPacketAt when the last packet was received.
     */
    bool mayExit(monotonic_time lastPacketAt, monotonic_time now) const;

private:
    shutdown_settings m_settings;
    bool m_isStopping = false;
    monotonic_time m_beganAt {0};
};

} // namespace chicoryhead
