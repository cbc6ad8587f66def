/**
 * @file suspension_detector_base.h
 * Notices that the process did not run for a while.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>
#include <optional>
#include <utility>

namespace chicoryhead {

/** Times of the suspension watch. */
struct suspension_settings
{
    /// A process that handled nothing for this long was suspended; ticks come every 50 ms, and a
    /// processor quota stops it for at most a tenth of a second at a time.
    monotonic_time gap = std::chrono::milliseconds(300);
    /// Time to read the packets that waited during a suspension.
    monotonic_time distrust = std::chrono::milliseconds(30);
    /// A tick that comes this much too late means that packets wait too. A processor quota may
    /// delay it by up to a tenth of a second.
    monotonic_time tickLateness = std::chrono::milliseconds(120);
    /// Time after a late tick for which this instance's view of others is not trusted.
    monotonic_time unsteadyTime = std::chrono::seconds(1);
};

/**
 * Compares the times of events. Any event may be the first after a suspension, so whoever has to
 * act asks separately.
 */
class suspension_watch
{
public:
    explicit suspension_watch(monotonic_time now, suspension_settings settings = {})
        : m_settings(settings), m_activeAt(now)
    {
    }

    /** An event is handled; returns the length of the suspension that it ends, if there was one. */
    std::optional<monotonic_time> noteActivity(monotonic_time now)
    {
        const auto gap = now - std::exchange(m_activeAt, now);
        if (gap < m_settings.gap)
            return std::nullopt;
        m_distrustUntil = now + m_settings.distrust;
        m_hasResumed = true;
        return gap;
    }

    /** Whether there was a suspension since the last call. */
    bool takeResumed() { return std::exchange(m_hasResumed, false); }

    /** Whether a packet that is read now may have waited during a suspension. */
    bool isDistrusted(monotonic_time now) const { return now < m_distrustUntil; }

    /** A tick that was due at a time is handled. */
    void noteTick(monotonic_time dueAt, monotonic_time now)
    {
        if (now - dueAt > m_settings.tickLateness)
            m_unsteadyUntil = now + m_settings.unsteadyTime;
    }

    /** Whether packets were handled without much delay lately. */
    bool isSteady(monotonic_time now) const { return now >= m_unsteadyUntil; }

    /** When the event being handled began. */
    monotonic_time activeAt() const { return m_activeAt; }

private:
    suspension_settings m_settings;
    monotonic_time m_activeAt;
    monotonic_time m_distrustUntil {0};
    monotonic_time m_unsteadyUntil {0};
    bool m_hasResumed = false;
};

} // namespace chicoryhead
