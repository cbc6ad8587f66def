/**
 * @file event_log_base.h
 * Event log that never blocks on its output.
 *
 * Lines are dropped when the buffer is full because the reader is slow, and when one event exceeds
 * its rate limit. The next line of that event reports how many were dropped, as left_out.
 */

#pragma once

#include "core/core_base.h"
#include "core/log_func.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace chicoryhead {

/** Limits of the event log. */
struct event_log_settings
{
    /// Lines of each event per second; a less frequent event is never rate-limited.
    unsigned maxLinesPerSecond = 40;
    std::size_t maxBufferBytes = 32768; ///< lines not yet written, because the reader is slow
};

/** Writes one line of key=value pairs per event. */
class event_log
{
public:
    /** @param descriptor output, for example standard output; not closed by the log. */
    event_log(int descriptor, const clock_source &clock, event_log_settings settings = {});

    /**
     * Adds a line to the buffer, or drops it if a limit is reached.
     * @param event stable name in snake case; the string must outlive the log.
     */
    void write(std::string_view event, std::initializer_list<log_field> fields);

    /**
     * Whether a line of this event is within the limits; counts it as dropped if it is not. A check
     * before the fields are formatted saves that work for lines that would be dropped.
     */
    bool isEnabled(std::string_view event);

    /** Writes buffered lines as long as the descriptor accepts them without blocking. */
    void flush();

    /** Number of lines dropped by either limit. */
    std::uint64_t linesDropped() const { return m_dropped; }

private:
    /** Line count of one event in the current second. */
    struct rate_window
    {
        std::int64_t second = 0;
        unsigned lines = 0;
        std::uint64_t dropped = 0; ///< since the last line that was written
    };

    rate_window &rateWindowOf(std::string_view event);

    int m_descriptor;
    const clock_source &m_clock;
    event_log_settings m_settings;
    std::map<std::string_view, rate_window> m_rateWindows;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace chicoryhead
