/**
 * @file common_http.cpp
 * HTTP server of the stand-ins on RESTinio, which is included in this file only because it compiles
 * slowly.
 */

#include "common.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace standin {

namespace {

using traits =
    restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;

/// Longer than the longest blocking query, which the published interface bounds to ten minutes.
constexpr std::chrono::minutes maxHandling {11};

std::string unescape(const std::string &text)
{
    // The default traits reject '/', which keys hold unescaped.
    return restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>(
        text);
}

http_request toRequest(const restinio::request_t &request)
{
    http_request converted;
    converted.method = request.header().method().c_str();
    converted.path = unescape(std::string(request.header().path()));
    // RESTinio's parser of queries drops names without a value, such as "keys".
    std::istringstream query {std::string(request.header().query())};
    for (std::string item; std::getline(query, item, '&');) {
        const auto equals = std::min(item.find('='), item.size());
        converted.query.emplace(item.substr(0, equals),
                                unescape(item.substr(std::min(equals + 1, item.size()))));
    }
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
