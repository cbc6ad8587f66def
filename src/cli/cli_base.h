/**
 * @file cli_base.h
 * The operators' client without its process: what it needs from outside and how it is run.
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

/** Exit codes of the client; docs/operators-guide.md lists them. */
enum class exit_code : int {
    Done = 0,
    Refused = 1, ///< the configuration is not the one that the change is based on
    Usage = 2,
    Invalid = 3,     ///< malformed input, or the store does not take the change
    Unavailable = 4, ///< store or file can't be read; nothing was changed
    Unknown = 5,     ///< a change may have taken effect
    Timeout = 6,
};

/** What the client needs from outside. */
struct cli_environment
{
    std::ostream &out;
    std::ostream &err;
    std::istream &in;
    page_client &pages;
    /// Makes the access to a store.
    std::function<std::unique_ptr<operator_store>(const endpoint &)> openStore;
    config_decoder decodeConfig;
    std::function<std::string(const char *name)> variable; ///< environment variable or empty
    std::function<std::chrono::milliseconds()> now;        ///< monotonic
    std::function<void(std::chrono::milliseconds)> sleep;
};

/** Runs one command. Arguments are those after the program's name. */
exit_code runCli(const std::vector<std::string> &arguments, const cli_environment &environment);

} // namespace chicoryhead
