/**
 * @file event_log.cpp
 * Rate limit per event and non-blocking output of the event log.
 */

#include "event_log_base.h"

#include <poll.h>
#include <unistd.h>

#include <limits.h>

#include <algorithm>

namespace chicoryhead {

namespace {

/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd state {descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

event_log::event_log(int descriptor, const clock_source &clock, event_log_settings settings)
    : m_descriptor(descriptor), m_clock(clock), m_settings(settings)
{
}

event_log::rate_window &event_log::rateWindowOf(std::string_view event)
{
    rate_window &window = m_rateWindows[event];
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now()).count();
    if (window.second != second) {
        window.second = second;
        window.lines = 0;
    }
    return window;
}

bool event_log::isEnabled(std::string_view event)
{
    rate_window &window = rateWindowOf(event);
    if (window.lines < m_settings.maxLinesPerSecond && m_buffer.size() < m_settings.maxBufferBytes)
        return true;
    ++window.dropped;
    ++m_dropped;
    return false;
}

void event_log::write(std::string_view event, std::initializer_list<log_field> fields)
{
    if (!isEnabled(event))
        return;
    rate_window &window = rateWindowOf(event);
    ++window.lines;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now()).count();
    m_buffer += "t_ms=" + std::to_string(now) + ' ' + formatEvent(event, fields);
    if (window.dropped > 0)
        m_buffer += " left_out=" + std::to_string(window.dropped);
    window.dropped = 0;
    m_buffer += '\n';
}

void event_log::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && isWritable(m_descriptor)) {
        const std::size_t bytes = std::min(m_buffer.size() - written, maxWriteBytes);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, bytes);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace chicoryhead
