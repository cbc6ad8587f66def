/**
 * @file status_server.cpp
 * Implements the status server with RESTinio, which only this file of the entry process includes.
 */

#include "status_server.h"

#include <restinio/all.hpp>

#include <utility>

namespace chicoryhead {

namespace {

/// The fabric and the metrics scraper keep one connection each; the others are for operators.
constexpr std::size_t maxConnections = 16;
constexpr std::size_t readBufferBytes = 1024;
constexpr std::chrono::seconds idleTimeout {10};

struct server_traits : restinio::default_single_thread_traits_t
{
    static constexpr bool
        use_connection_count_limiter // NOLINT(readability-identifier-naming): RESTinio
        = true;
    using request_handler_t =
        std::function<restinio::request_handling_status_t(const restinio::request_handle_t &)>;
};

using restinio_server = restinio::http_server_t<server_traits>;

restinio::http_status_line_t statusLine(int status)
{
    switch (status) {
    case 200:
        return restinio::status_ok();
    case 400:
        return restinio::status_bad_request();
    case 503:
        return restinio::status_service_unavailable();
    default:
        return restinio::status_not_found();
    }
}

} // namespace

struct status_server::implementation
{
    implementation(asio::io_context &context, const endpoint &listen, page_source pages)
        : server(restinio::external_io_context(context),
                 restinio::server_settings_t<server_traits> {}
                     .address(asio::ip::address_v4(listen.address))
                     .port(listen.port)
                     .max_parallel_connections(maxConnections)
                     .buffer_size(readBufferBytes)
                     .read_next_http_message_timelimit(idleTimeout)
                     .write_http_response_timelimit(idleTimeout)
                     .cleanup_func([] {})
                     .request_handler([pages = std::move(pages)](const auto &request) {
                         const auto path = request->header().path();
                         const auto query = request->header().query();
                         const status_page page =
                             pages({path.data(), path.size()}, {query.data(), query.size()});
                         auto builder = request->create_response(statusLine(page.status));
                         if (!request->header().should_keep_alive())
                             builder.connection_close();
                         builder.append_header(restinio::http_field::content_type,
                                               std::string(page.type));
                         builder.set_body(page.body);
                         return builder.done();
                     }))
    {
    }

    restinio_server server;
};

status_server::status_server(asio::io_context &context, const endpoint &listen, page_source pages)
    : m_implementation(std::make_unique<implementation>(context, listen, std::move(pages)))
{
}

status_server::~status_server() = default;

std::error_code status_server::start()
{
    try {
        m_implementation->server.open_sync();
    } catch (const std::system_error &failure) {
        return failure.code();
    }
    return {};
}

} // namespace chicoryhead
