/**
 * @file common_http.cpp
 * HTTP server of the stand-ins on RESTinio, which is included in this file only because it compiles
 * slowly.
 */

#include "common.h"

#include <restinio/all.hpp>

#include <cstdlib>
#include <iostream>

namespace standin {

namespace {

using traits =
    restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

using path_traits = restinio::utils::relaxed_unescape_traits;

/// Longer than the longest blocking query, which the published interface bounds to ten minutes.
constexpr std::chrono::minutes maxHandling {11};

http_request toRequest(const restinio::request_t &request)
{
    http_request converted;
    converted.method = request.header().method().c_str();
    // The default traits reject '/', which keys hold unescaped.
    converted.path =
        restinio::utils::unescape_percent_encoding<path_traits>(request.header().path());
    const auto query =
        restinio::parse_query<restinio::parse_query_traits::relaxed>(request.header().query());
    for (const auto &[name, value] : query)
        converted.query.emplace(std::string(name), std::string(value));
    converted.body = request.body();
    return converted;
}

void respond(const restinio::request_handle_t &request, const http_response &response)
{
    const auto status = restinio::http_status_line_t {
        restinio::http_status_code_t {static_cast<std::uint16_t>(response.status)},
        response.status == 200 ? "OK" : "Failed"};
    auto builder = request->create_response(status);
    for (const auto &[name, value] : response.headers)
        builder.append_header(name, value);
    builder.set_body(response.body);
    builder.done();
}

} // namespace

struct http_server::impl
{
    impl(asio::io_context &context, const endpoint &local, const http_handler &handler)
        : server(restinio::external_io_context(context), [&](auto &settings) {
            settings.address(asio::ip::address_v4(local.address).to_string())
                .port(local.port)
                .handle_request_timeout(maxHandling)
                .read_next_http_message_timelimit(maxHandling)
                .request_handler([handler](const restinio::request_handle_t &request) {
                    try {
                        handler(toRequest(*request), [request](const http_response &response) {
                            respond(request, response);
                        });
                    } catch (const std::exception &failure) {
                        respond(request, {400, failure.what(), {}});
                    }
                    return restinio::request_accepted();
                });
        })
    {
        server.open_async([] {},
                          [](const std::exception_ptr &) {
                              std::cerr << "cannot open the HTTP port\n";
                              std::_Exit(3);
                          });
    }

    restinio::http_server_t<traits> server;
};

http_server::http_server(asio::io_context &context, const endpoint &local,
                         const http_handler &handler)
    : m_impl(std::make_unique<impl>(context, local, handler))
{
}

http_server::~http_server() = default;

} // namespace standin
