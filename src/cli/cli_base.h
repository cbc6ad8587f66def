/**
 * @file cli_base.h
 * The operators' client without its process: what it needs from outside and how it is run.
 */

#pragma once

#include "core/core_type.h"

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace chicoryhead {

/** Exit codes of the client; docs/operators-guide.md lists them. */
enum class exit_code : int {
    Done = 0,
    Refused = 1, ///< version conflict
    Usage = 2,
    Invalid = 3,     ///< validation, malformed input, a missing token or flows that would break
    Unavailable = 4, ///< instance not reachable or store unavailable; nothing was changed
    Unknown = 5,     ///< a change may have taken effect; send it again with the same id
    Timeout = 6,
};

/** An HTTP response as the client sees it. */
struct client_response
{
    int status = 0;
    std::string body;
};

/** Sends requests to an instance. */
class operator_client
{
public:
    virtual ~operator_client() = default;

    /** Sends a GET request. Errors: std::errc::host_unreachable. */
    virtual result<client_response> get(const std::string &url) = 0;

    /**
     * Sends a JSON document.
     * @param token empty for none.
     * @return the response; std::errc::host_unreachable when nothing was sent;
     * error::OutcomeUnknown when the request was sent and no response came.
     */
    virtual result<client_response> post(const std::string &url, const std::string &token,
                                         const std::string &body) = 0;
};

/** What the client needs from outside. */
struct cli_environment
{
    std::ostream &out;
    std::ostream &err;
    operator_client &client;
    std::function<std::string(const char *name)> variable; ///< environment variable or empty
    std::function<std::chrono::milliseconds()> now;        ///< monotonic
    std::function<wall_time()> wallNow;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::function<std::string()> makePatchId; ///< a new id that nobody else uses
};

/** Runs one command. Arguments are those after the program's name. */
exit_code runCli(const std::vector<std::string> &arguments, const cli_environment &environment);

} // namespace chicoryhead
