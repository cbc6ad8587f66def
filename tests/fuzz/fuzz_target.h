/**
 * @file fuzz_target.h
 * Inputs from outside that are fuzzed, each with the code that reads it.
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::fuzz {

/** One kind of input. */
struct fuzz_target
{
    std::string_view name;
    /** Reads an input; a broken property ends the process. */
    void (*run)(std::span<const std::byte> input);
    /** Inputs as the program's own encoders write them. */
    std::vector<std::string> (*seeds)();
};

/** All targets. */
std::span<const fuzz_target> targets();

} // namespace chicoryhead::fuzz
