/**
 * @file record.h
 * What callers, upstreams and the platform saw, with times since the start.
 */

#pragma once

#include "core/core_type.h"
#include "system/system_base.h"

#include <cstdio>
#include <fstream>
#include <string>

namespace chicoryhead::review {

/** Writes lines to record.txt. */
class record
{
public:
    explicit record(const std::string &path) : m_file(path), m_start(m_clock.now()) { }

    monotonic_time now() const { return m_clock.now() - m_start; }

    void write(const std::string &line)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now().count()) / 1e6);
        m_file << time << line << '\n' << std::flush;
    }

private:
    std::ofstream m_file;
    boot_clock_source m_clock;
    monotonic_time m_start;
};

} // namespace chicoryhead::review
