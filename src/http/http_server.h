/**
 * @file http_server.h
 * HTTP server for operators, metrics and health checks.
 */

#pragma once

#include "core/core_type.h"
#include "http_base.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace chicoryhead {

/**
 * Serves an operator_api over HTTP/1.1 on an io_context that one thread runs. Bodies, headers,
 * connections and the time for each step are bounded.
 */
class http_server
{
public:
    /**
     * @param listen where to listen; port 0 takes a free one.
     * @param api must outlive the server.
     * @param token patches need it; empty for none.
     */
    http_server(asio::io_context &context, const endpoint &listen, operator_api &api,
                std::string token);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Starts to listen. Returns the error of the socket when that is not possible. */
    std::error_code start();

    /**
     * Stops to listen. Requests that arrive on connections still open get status 503; calls to the
     * api that are under way are answered. An idle connection keeps the io_context at work, so the
     * caller ends it with io_context::stop(). Must be called from the thread of the io_context, or
     * when it does not run.
     */
    void stop();

    /** Where the server listens; its port is 0 before start() when a free one was asked for. */
    endpoint localEndpoint() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicoryhead
