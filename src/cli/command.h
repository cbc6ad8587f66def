/**
 * @file command.h
 * Types and functions shared by the commands of the client.
 */

#pragma once

#include "cli_base.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** Arguments and environment of one invocation of a command. */
struct command_call
{
    const cli_environment &environment;
    std::vector<std::string> operands;
};

/** Description of a command. */
struct command
{
    std::string_view name;     ///< one or two words
    std::string_view operands; ///< as shown in the help
    std::size_t minOperands;
    std::size_t maxOperands;
    std::span<const std::string_view> flags; ///< in addition to the common flags
    std::string_view summary;
    exit_code (*run)(const command_call &call);
};

/** Prints an error message to the error output and returns the code. */
exit_code fail(const command_call &call, exit_code code, std::string_view message);

/** Prints a warning to the error output; the command continues. */
void warn(const command_call &call, std::string_view message);

/**
 * Opens the store given by --store or the environment. Prints an error message and returns null if
 * neither gives an address.
 */
std::unique_ptr<operator_store> openStore(const command_call &call);

/** Reads the fleet and calls a function with the store and the fleet; prints why that failed. */
exit_code withFleet(const command_call &call,
                    const std::function<exit_code(operator_store &, const fleet_changes &)> &run);

/** Prints why the store could not be read, and returns Unavailable. */
exit_code failStore(const command_call &call, std::error_code code);

/** Reads a whole file; "-" is standard input. Error: std::errc::no_such_file_or_directory. */
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
exit_code runEvacuate(const command_call &call);
exit_code runEvacuations(const command_call &call);
exit_code runExplain(const command_call &call);
exit_code runTrace(const command_call &call);

} // namespace chicoryhead
