/**
 * @file argument.h
 * Command-line flags, declared with gflags, and the parser of positional arguments and flags.
 */

#pragma once

#include "core/core_type.h"

#include <gflags/gflags.h>

#include <string>
#include <string_view>
#include <vector>

DECLARE_string(store);
DECLARE_string(policy);
DECLARE_bool(json);
DECLARE_uint64(base);
DECLARE_uint32(timeout);
DECLARE_uint32(pages_port);
DECLARE_string(instance);
DECLARE_string(service_address);
DECLARE_string(caller);
DECLARE_string(sequence);
DECLARE_bool(end);
DECLARE_bool(force);
DECLARE_bool(wait);

namespace chicoryhead {

/** Parsed command line. The values of flags are stored in the gflags variables. */
struct command_line
{
    std::vector<std::string> positionals;
    std::vector<std::string> flags; ///< names of the flags present, with underscores
    bool wantsHelp = false;
};

/**
 * Parses arguments and sets the flag variables. Flags may appear anywhere; dashes in their names
 * are equivalent to underscores. All arguments after "--" are positional.
 * @param message receives the error message.
 * @return std::errc::invalid_argument for an unknown flag or a value that does not match its type.
 */
result<command_line> parseArguments(const std::vector<std::string> &arguments,
                                    std::string &message);

/** Help text of a flag, one line. */
std::string describeFlag(std::string_view name);

} // namespace chicoryhead
