/**
 * @file system_base.h
 * Clock and random source of the operating system.
 */

#pragma once

#include "core/core_base.h"

#include <random>

namespace chicoryhead {

/** Clock based on CLOCK_BOOTTIME, which also advances while the system is suspended. */
class boot_clock_source : public clock_source
{
public:
    monotonic_time now() const override;
};

/** Random source seeded from std::random_device. */
class system_random_source : public random_source
{
public:
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine {std::random_device {}()};
};

} // namespace chicoryhead
