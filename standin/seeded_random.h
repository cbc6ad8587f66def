/**
 * @file seeded_random.h
 * Random source with a seed, for tests and simulations.
 */

#pragma once

#include "core/core_base.h"

#include <cstdint>
#include <random>

namespace chicoryhead::standin {

/** Produces the same sequence for the same seed. */
class seeded_random : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace chicoryhead::standin
