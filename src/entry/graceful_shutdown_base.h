/**
 * @file graceful_shutdown_base.h
 * When a process that was told to stop may end.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>

namespace chicoryhead {

/** Times of a stop. */
struct shutdown_settings
{
    /// The fabric asks twice per second and takes an instance out of rotation after two misses,
    /// in all deployments.
    monotonic_time rotationRemovalTime = std::chrono::milliseconds(1500);
    /// No packet for this long means that the fabric sends none any more.
    monotonic_time quietPeriod = std::chrono::milliseconds(300);
    monotonic_time gracePeriod = std::chrono::seconds(6); ///< until the process is killed
    monotonic_time exitReserve = std::chrono::seconds(1); ///< of the grace, for a slow instance
};

/**
 * A stopping instance says that it is not ready and goes on forwarding until the fabric has
 * noticed, so that no packet is lost.
 */
class graceful_shutdown
{
public:
    explicit graceful_shutdown(shutdown_settings settings = {}) : m_settings(settings) { }

    /** Uses other times from now on. */
    void setSettings(const shutdown_settings &settings) { m_settings = settings; }

    void begin(monotonic_time now);

    bool isStopping() const { return m_isStopping; }

    /** @param lastPacketAt when the last packet came. */
    bool mayExit(monotonic_time lastPacketAt, monotonic_time now) const;

private:
    shutdown_settings m_settings;
    bool m_isStopping = false;
    monotonic_time m_beganAt {0};
};

} // namespace chicoryhead
