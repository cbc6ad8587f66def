/**
 * @file http_store_func.h
 * Client of the platform's key-value service over HTTP.
 */

#pragma once

#include "key_value_base.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace chicoryhead {

/** Where the service is and how long calls may take. */
struct http_store_settings
{
    std::string baseUrl = "http://127.0.0.1:8500";
    /// Of a call; a watch has its wait time on top. Longer than the deadline of those who call, who
    /// use late answers as well.
    std::chrono::milliseconds timeout {4000};
    std::chrono::milliseconds connectTimeout {1000};
    std::string serviceName = "chicoryhead"; ///< name in the platform's list of instances
};

/** Runs a function later in the core's thread; called from the client's thread. */
using http_store_executor = std::function<void(std::function<void()>)>;

/**
 * Makes a client with a thread of its own. Handlers run in the executor; those of calls that are
 * under way when the client is destroyed don't run.
 */
std::unique_ptr<key_value_store> makeHttpStore(const http_store_settings &settings,
                                               http_store_executor executor);

} // namespace chicoryhead
