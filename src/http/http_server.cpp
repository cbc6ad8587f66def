/**
 * @file http_server.cpp
 * The operators' HTTP server on RESTinio. Only this file includes RESTinio, which compiles slowly.
 */

#include "http_server.h"

#include "core/log_func.h"
#include "http_func.h"

#include <restinio/all.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::size_t maxConnections = 32;
/// Twice the accepted body, so that a body that is slightly too large still gets an answer; beyond
/// it the connection is closed. Bounds the memory of all connections to 4 MB.
constexpr std::size_t maxReadBody = 2 * maxRequestBody;
constexpr std::size_t maxUrl = 2048;
constexpr std::size_t maxHeaderField = 4096;
constexpr std::size_t maxHeaderCount = 64;
constexpr std::chrono::seconds readTimeout {10};
constexpr std::chrono::seconds writeTimeout {10};
/// Longer than an instance needs to find out the outcome of a patch, so that the answer is sent.
constexpr std::chrono::seconds handleTimeout {30};

struct server_traits : restinio::default_single_thread_traits_t
{
    static constexpr bool
        use_connection_count_limiter // NOLINT(readability-identifier-naming): RESTinio
        = true;
    using request_handler_t =
        std::function<restinio::request_handling_status_t(const restinio::request_handle_t &)>;
};

using restinio_server = restinio::http_server_t<server_traits>;

/// The statuses of http_func.h; RESTinio wants the phrase with the code.
constexpr std::array<std::pair<int, const char *>, 11> reasonPhrases {{
    {200, "OK"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {413, "Payload Too Large"},
    {422, "Unprocessable Entity"},
    {500, "Internal Server Error"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

restinio::http_status_line_t statusLine(int status)
{
    const restinio::http_status_code_t code {static_cast<std::uint16_t>(status)};
    for (const auto &[known, phrase] : reasonPhrases) {
        if (known == status)
            return {code, phrase};
    }
    return {code, "Unknown"};
}

void sendResponse(const restinio::request_handle_t &request, const operator_response &response)
{
    auto builder = request->create_response(statusLine(response.status));
    builder.append_header(restinio::http_field::content_type, response.contentType);
    if (!response.allow.empty())
        builder.append_header(restinio::http_field::allow, response.allow);
    if (response.status == 401)
        builder.append_header(restinio::http_field::www_authenticate, "Bearer");
    if (!request->header().should_keep_alive())
        builder.connection_close();
    builder.set_body(response.body);
    builder.done();
}

operator_request toOperatorRequest(const restinio::request_handle_t &request)
{
    const auto path = request->header().path();
    return {request->header().method().c_str(), std::string(path.data(), path.size()),
            request->header().get_field_or(restinio::http_field::authorization, std::string()),
            request->body()};
}

restinio::incoming_http_msg_limits_t messageLimits()
{
    return restinio::incoming_http_msg_limits_t {}
        .max_url_size(maxUrl)
        .max_field_name_size(maxHeaderField)
        .max_field_value_size(maxHeaderField)
        .max_field_count(maxHeaderCount)
        .max_body_size(maxReadBody);
}

} // namespace

struct http_server::implementation
{
    /// What request handlers use; reset by stop(), while connections may still be open.
    struct api_access
    {
        operator_api &api;
        std::string token;
    };

    asio::io_context &context;
    endpoint local;
    std::shared_ptr<api_access> access;
    std::unique_ptr<restinio_server> server;

    server_traits::request_handler_t makeHandler() const
    {
        return [weak = std::weak_ptr<api_access>(access)](const auto &request) {
            if (const auto current = weak.lock()) {
                handleRequest(current->api, current->token, toOperatorRequest(request),
                              [request](const operator_response &r) { sendResponse(request, r); });
            } else {
                sendResponse(request, errorResponse(503, "the server is stopping"));
            }
            return restinio::request_accepted();
        };
    }

    void open()
    {
        const asio::ip::address_v4 address {local.address};
        server = std::make_unique<restinio_server>(
            restinio::external_io_context(context), [this, address](auto &settings) {
                settings.address(asio::ip::address(address))
                    .port(local.port)
                    .max_parallel_connections(maxConnections)
                    .incoming_http_msg_limits(messageLimits())
                    .read_next_http_message_timelimit(readTimeout)
                    .write_http_response_timelimit(writeTimeout)
                    .handle_request_timeout(handleTimeout)
                    .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                        local.port = acceptor.local_endpoint().port();
                    })
                    .request_handler(makeHandler());
            });
        server->open_sync();
    }
};

http_server::http_server(asio::io_context &context, const endpoint &listen, operator_api &api,
                         std::string token)
    : m_implementation(std::make_unique<implementation>(
        implementation {context, listen,
                        std::make_shared<implementation::api_access>(
                            implementation::api_access {api, std::move(token)}),
                        nullptr}))
{
}

http_server::~http_server()
{
    stop();
}

std::error_code http_server::start()
{
    try {
        m_implementation->open();
    } catch (const std::system_error &failure) {
        m_implementation->server.reset();
        // Asio's own category compares equal to no std::errc.
        return {failure.code().value(), std::system_category()};
    }
    logEvent(log_level::Info, "http_listening", {{"address", toString(localEndpoint())}});
    return {};
}

void http_server::stop()
{
    m_implementation->access.reset();
    if (m_implementation->server)
        m_implementation->server->close_sync();
}

endpoint http_server::localEndpoint() const
{
    return m_implementation->local;
}

} // namespace chicoryhead
