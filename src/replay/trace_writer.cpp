/**
 * @file trace_writer.cpp
 * Writer of traces.
 */

#include "trace_func.h"
#include "trace_writer_base.h"

namespace chicoryhead {

trace_writer::~trace_writer()
{
    flushTicks();
    m_stream.flush();
}

trace_writer::trace_writer(std::ostream &stream, const trace_header &header) : m_stream(stream)
{
    m_stream << formatHeader(header);
}

void trace_writer::onInput(monotonic_time time, const std::string &text)
{
    if (text != "tick") {
        flushTicks();
        m_stream << time.count() << ' ' << text << '\n';
        return;
    }
    const bool isEven = m_tickCount == 1 || (m_tickCount > 1 && time - m_lastTick == m_step);
    if (!isEven)
        flushTicks();
    if (m_tickCount == 0)
        m_firstTick = time;
    m_step = m_tickCount == 0 ? monotonic_time {0} : time - m_lastTick;
    m_lastTick = time;
    ++m_tickCount;
}

void trace_writer::onOutcome(const std::string &text)
{
    if (m_tickCount > 0) {
        // The outcome belongs to the last tick, which therefore gets a line of its own.
        const monotonic_time last = m_lastTick;
        --m_tickCount;
        flushTicks();
        m_stream << last.count() << " tick\n";
    }
    m_stream << "> " << text << '\n';
}

void trace_writer::flushTicks()
{
    if (m_tickCount == 1)
        m_stream << m_firstTick.count() << " tick\n";
    else if (m_tickCount > 1)
        m_stream << m_firstTick.count() << " ticks " << m_tickCount << ' ' << m_step.count()
                 << '\n';
    m_tickCount = 0;
}

} // namespace chicoryhead
