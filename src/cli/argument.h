/**
 * @file argument.h
 * Flags of the client, declared with gflags, and the split of its arguments into words and flags.
 */

#pragma once

#include "core/core_type.h"

#include <gflags/gflags.h>

#include <string>
#include <string_view>
#include <vector>

DECLARE_string(store);
DECLARE_bool(json);
DECLARE_uint64(base);
DECLARE_uint32(timeout);
DECLARE_uint32(pages_port);

namespace chicoryhead {

/** Arguments of one call. Values of flags are in gflags' variables. */
struct command_line
{
    std::vector<std::string> positionals;
    std::vector<std::string> flags; ///< names of the flags given, with underscores
    bool wantsHelp = false;
};

/**
 * Splits arguments and sets the flags' variables. Flags may stand anywhere; dashes in their names
 * count as underscores. All words after "--" are words.
 * @param message gets what is wrong.
 * @return std::errc::invalid_argument for an unknown flag or a value that its type does not allow.
 */
result<command_line> parseArguments(const std::vector<std::string> &arguments,
                                    std::string &message);

/** One line of help for a flag. */
std::string describeFlag(std::string_view name);

} // namespace chicoryhead
