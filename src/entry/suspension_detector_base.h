/**
 * @file suspension_detector_base.h
 * Detects that the process did not run for a while.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>
#include <optional>
#include <utility>

namespace chicoryhead {

/** Times of the suspension detector. */
struct suspension_settings
{
    /// A process that handled no event for this long was suspended. Ticks come every 50 ms, and a
    /// CPU quota throttles the process for at most a tenth of a second at a time.
    monotonic_time minGap = std::chrono::milliseconds(300);
    /// Time to read the packets that were queued during a suspension.
    monotonic_time backlogTime = std::chrono::milliseconds(30);
    /// A tick that is delayed by more than this means that packets are delayed too. A CPU quota
    /// may delay a tick by up to a tenth of a second.
    monotonic_time maxTickDelay = std::chrono::milliseconds(120);
    /// Time after a late tick in which this instance's observations of others are not trusted.
    monotonic_time unreliableTime = std::chrono::seconds(1);
};

/**
 * Detects suspensions by the time between two events. Any event may be the first after one, so the
 * code that reacts to it polls takeResumed().
 */
class suspension_detector
{
public:
    explicit suspension_detector(monotonic_time now, suspension_settings settings = {})
        : m_settings(settings), m_lastActivityAt(now)
    {
    }

    /** Records an event; returns the length of the suspension that it ends, if there was one. */
    std::optional<monotonic_time> recordActivity(monotonic_time now)
    {
        const auto gap = now - std::exchange(m_lastActivityAt, now);
        if (gap < m_settings.minGap)
            return std::nullopt;
        m_backlogUntil = now + m_settings.backlogTime;
        m_hasResumed = true;
        return gap;
    }

    /** Whether there was a suspension since the last call. */
    bool takeResumed() { return std::exchange(m_hasResumed, false); }

    /** Whether a packet that is read now may have been queued during a suspension. */
    bool isReadingBacklog(monotonic_time now) const { return now < m_backlogUntil; }

    /** Records a tick and the time when it was due. */
    void recordTick(monotonic_time dueAt, monotonic_time now)
    {
        if (now - dueAt > m_settings.maxTickDelay)
            m_unreliableUntil = now + m_settings.unreliableTime;
    }

    /** Whether packets were recently handled without much delay. */
    bool isTimingReliable(monotonic_time now) const { return now >= m_unreliableUntil; }

    /** When the event that is being handled was recorded. */
    monotonic_time lastActivityAt() const { return m_lastActivityAt; }

private:
    suspension_settings m_settings;
    monotonic_time m_lastActivityAt;
    monotonic_time m_backlogUntil {0};
    monotonic_time m_unreliableUntil {0};
    bool m_hasResumed = false;
};

} // namespace chicoryhead
