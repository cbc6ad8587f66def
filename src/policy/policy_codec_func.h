/**
 * @file policy_codec_func.h
 * Parses the operators' policy file, an INI file with one section for each part.
 */

#pragma once

#include "traffic_policy_type.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/// Maximum size of a policy file; a larger file is not a policy, and is not read to its end.
inline constexpr std::size_t maxPolicyBytes = 65536;

/** A line or value that makes a policy invalid. */
struct policy_problem
{
    std::string section; ///< empty for a key outside a section, or a problem of the whole file
    std::string key;     ///< empty for a problem of the section or the whole file
    std::string reason;

    bool operator==(const policy_problem &) const = default;
};

/** Formats a problem as "[section] key: reason". */
std::string toString(const policy_problem &problem);

/**
 * Parses a policy. Missing sections and keys get their defaults, so that an empty text is valid.
 * @param problems receives all problems found; the policy is valid only if there are none.
 */
traffic_policy parsePolicy(std::string_view text, std::vector<policy_problem> &problems);

} // namespace chicoryhead
