/**
 * @file command.h
 * What the commands of the client share.
 */

#pragma once

#include "cli_base.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** One call of a command. */
struct command_call
{
    const cli_environment &environment;
    std::vector<std::string> operands;
};

/** One command of the client. */
struct command
{
    std::string_view name;     ///< one or two words
    std::string_view operands; ///< for the help
    std::size_t minOperands;
    std::size_t maxOperands;
    std::span<const std::string_view> flags; ///< besides the common ones
    std::string_view summary;
    exit_code (*run)(const command_call &call);
};

/** Prints a message for people to the error output and returns the code. */
exit_code fail(const command_call &call, exit_code code, std::string_view message);

/** Prints a message for people to the error output; the command goes on. */
void warn(const command_call &call, std::string_view message);

/** Access to the store that the flags or the environment name; null after a message. */
std::unique_ptr<operator_store> openStore(const command_call &call);

/** Prints why the store could not be read and returns Unavailable. */
exit_code failStore(const command_call &call, std::error_code code);

/** Reads a whole file, "-" for standard input. Errors: std::errc::no_such_file_or_directory. */
result<std::string> readTextFile(const command_call &call, const std::string &path);

exit_code runConfigShow(const command_call &call);
exit_code runConfigVersion(const command_call &call);
exit_code runConfigWait(const command_call &call);
exit_code runConfigCheck(const command_call &call);
exit_code runConfigPut(const command_call &call);
exit_code runInstances(const command_call &call);
exit_code runUpstreams(const command_call &call);
exit_code runFlows(const command_call &call);
exit_code runDomains(const command_call &call);
exit_code runUnhealthy(const command_call &call);
exit_code runTrace(const command_call &call);

} // namespace chicoryhead
