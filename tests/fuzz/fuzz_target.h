/**
 * @file fuzz_target.h
 * Kinds of external input to fuzz, each with the code that decodes it.
 */

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::fuzz {

/** A fuzz target: one kind of input. */
struct fuzz_target
{
    std::string_view name;
    /** Decodes an input; aborts the process if a property does not hold. */
    void (*run)(std::span<const std::byte> input);
    /** Valid inputs, most of them written by the program's own encoders, as the seed corpus. */
    std::vector<std::string> (*seeds)();
};

std::span<const fuzz_target> targets();

} // namespace chicoryhead::fuzz
