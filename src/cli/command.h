/**
 * @file command.h
 * What the commands of the client share.
 */

#pragma once

#include "cli_base.h"
#include "config/config_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
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

/** URLs of the instances to ask, without trailing slash; never empty. */
std::vector<std::string> serverUrls(const command_call &call);

/** Prints a message for people to the error output and returns the code. */
exit_code fail(const command_call &call, exit_code code, std::string_view message);

/**
 * Reads a JSON document from the first instance that answers.
 * @param document gets the parsed body.
 * @return Done, or Unavailable after a message was printed.
 */
exit_code readDocument(const command_call &call, const std::string &path,
                       nlohmann::ordered_json &document);

/**
 * Reads a JSON document from one instance.
 * @return what went wrong, for people; empty when document was set.
 */
std::string tryReadDocument(const command_call &call, const std::string &url,
                            nlohmann::ordered_json &document);

/** Reads a whole file, "-" for standard input. Errors: std::errc::no_such_file_or_directory. */
result<std::string> readTextFile(const std::string &path);

/**
 * Fills id, author, reason, base version and time of submission from flags, as far as they are
 * given, and submits the patch.
 */
exit_code submitOperation(const command_call &call, patch_operation operation);

/** Submits a JSON document of a patch and prints the outcome. */
exit_code submitDocument(const command_call &call, const std::string &id, config_version base,
                         const std::string &document);

/**
 * Refuses to remove the service or upstream that the operands name while an instance asked holds
 * flows of it.
 */
exit_code checkNoFlows(const command_call &call);

/** Refuses to settle the service while that may break flows. */
exit_code checkSettled(const command_call &call);

// Commands; the table says what each one does.
exit_code runConfigShow(const command_call &call);
exit_code runConfigVersion(const command_call &call);
exit_code runConfigWait(const command_call &call);
exit_code runInstances(const command_call &call);
exit_code runUpstreams(const command_call &call);
exit_code runFlows(const command_call &call);
exit_code runAudit(const command_call &call);
exit_code runPatchSubmit(const command_call &call);
exit_code runPatchCheck(const command_call &call);
exit_code runServiceCreate(const command_call &call);
exit_code runServiceLimits(const command_call &call);
exit_code runServiceSettle(const command_call &call);
exit_code runServiceRemove(const command_call &call);
exit_code runUpstreamAdd(const command_call &call);
exit_code runUpstreamLeave(const command_call &call);
exit_code runUpstreamWeight(const command_call &call);
exit_code runUpstreamRemove(const command_call &call);
exit_code runSettingsCheck(const command_call &call);
exit_code runSettingsPage(const command_call &call);
exit_code runSettingsExample(const command_call &call);

} // namespace chicoryhead
