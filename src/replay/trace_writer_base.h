/**
 * @file trace_writer_base.h
 * Writes a trace to a stream.
 */

#pragma once

#include "trace_type.h"

#include <ostream>

namespace chicoryhead {

/** Writes events as text; runs of ticks without outcome at even intervals become one line. */
class trace_writer : public trace_sink
{
public:
    /** Writes the header. @param stream outlives the writer. */
    trace_writer(std::ostream &stream, const trace_header &header);
    ~trace_writer() override;
    trace_writer(const trace_writer &) = delete;
    trace_writer &operator=(const trace_writer &) = delete;

    void onInput(monotonic_time time, const std::string &text) override;
    void onOutcome(const std::string &text) override;

private:
    void flushTicks();

    std::ostream &m_stream;
    monotonic_time m_firstTick {0};
    monotonic_time m_lastTick {0};
    monotonic_time m_step {0};
    std::uint64_t m_tickCount = 0; ///< ticks held back
};

} // namespace chicoryhead
