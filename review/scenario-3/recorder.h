/**
 * @file recorder.h
 * Writes what was sent, answered and run to the record of a case.
 */

#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace chicoryhead::review {

/** Record of one run; each line has the time since its start, in s. */
class recorder
{
public:
    explicit recorder(const std::string &path) : m_file(path) { }

    void write(const std::string &line)
    {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << line << '\n' << std::flush;
    }

    /** Writes a line to the record and to the output. */
    void report(const std::string &line)
    {
        write(line);
        std::printf("%8.3f %s\n", seconds(), line.c_str());
        std::fflush(stdout);
    }

    double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
    }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace chicoryhead::review
