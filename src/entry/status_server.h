/**
 * @file status_server.h
 * HTTP server for health checks and metrics of an entry process.
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

/** An answer of the status server. */
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
    /** Makes the page for a path. */
    using page_source = std::function<status_page(std::string_view path)>;

    status_server(asio::io_context &context, const endpoint &listen, page_source pages);
    ~status_server();
    status_server(const status_server &) = delete;
    status_server &operator=(const status_server &) = delete;

    /** Starts to listen. Returns the error of the socket when that is not possible. */
    std::error_code start();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicoryhead
