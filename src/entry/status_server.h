/**
 * @file status_server.h
 * HTTP server for readiness checks, metrics and status documents of an entry process.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace chicoryhead {

/** A response of the status server. */
struct status_page
{
    int status = 404;
    std::string body;
    std::string_view type = "text/plain"; ///< media type
};

/** Serves GET requests on an io_context that one thread runs. */
class status_server
{
public:
    /** Returns the page for a path and a query, which is empty if there is none. */
    using page_source = std::function<status_page(std::string_view path, std::string_view query)>;

    status_server(asio::io_context &context, const endpoint &listen, page_source pages);
    ~status_server();
    status_server(const status_server &) = delete;
    status_server &operator=(const status_server &) = delete;

    /** Starts listening. Returns the socket error if that fails. */
    std::error_code start();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicoryhead
