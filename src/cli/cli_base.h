/**
 * @file cli_base.h
 * Command-line client for operators: exit codes, external dependencies and entry point.
 */

#pragma once

#include "core/core_type.h"
#include "operator_store_base.h"

#include <chrono>
#include <functional>
#include <istream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace chicoryhead {

/** Exit codes of the client, documented in docs/operators-guide.md. */
enum class exit_code : int {
    Done = 0,
    Refused = 1, ///< the store does not have the state that the change is based on
    Usage = 2,
    Invalid = 3,     ///< malformed input, or the store rejected the change
    Unavailable = 4, ///< store or file can't be read; nothing was changed
    Unknown = 5,     ///< a change may have taken effect
    Timeout = 6,
};

/** External dependencies of the client; tests replace them. */
struct cli_environment
{
    std::ostream &out;
    std::ostream &err;
    std::istream &in;
    page_client &pages;
    /// Opens a connection to a store.
    std::function<std::unique_ptr<operator_store>(const endpoint &)> openStore;
    config_decoder decodeConfig;
    std::function<std::string(const char *name)> variable; ///< environment variable or empty
    std::function<std::chrono::milliseconds()> now;        ///< monotonic clock
    std::function<void(std::chrono::milliseconds)> sleep;
};

/** Runs one command. The arguments exclude the program name. */
exit_code runCli(const std::vector<std::string> &arguments, const cli_environment &environment);

} // namespace chicoryhead
