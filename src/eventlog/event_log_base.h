/**
 * @file event_log_base.h
 * Bounded log of events on a descriptor that is never waited for.
 *
 * Lines are dropped when their reader is slow and when one kind of event comes too often; the log
 * says how many were left out.
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

/** Bounds of the log. */
struct event_log_settings
{
    /// Lines of one kind in each second; a kind that is rarer than that is always complete.
    unsigned maxLinesPerSecond = 40;
    std::size_t maxBufferBytes = 32768; ///< lines that wait for a slow reader
};

/** Writes one key=value line per event. */
class event_log
{
public:
    /** @param descriptor where lines go, for example standard output; not closed. */
    event_log(int descriptor, const clock_source &clock, event_log_settings settings = {});

    /**
     * Adds an event.
     * @param event stable name in snake case; must live as long as the log.
     */
    void write(std::string_view event, std::initializer_list<log_field> fields);

    /** Whether a line of this kind would be kept; saves the work of formatting it. */
    bool isEnabled(std::string_view event);

    /** Hands lines to the descriptor as far as it takes them at once. */
    void flush();

    /** Lines that were left out, by either bound. */
    std::uint64_t linesDropped() const { return m_dropped; }

private:
    /** Lines of one kind in the current second. */
    struct rate_window
    {
        std::int64_t second = 0;
        unsigned lines = 0;
        std::uint64_t dropped = 0; ///< since the last line that was kept
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
