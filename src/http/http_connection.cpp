/**
 * @file http_connection.cpp
 * Asynchronous HTTP requests with Asio; responses are parsed by http_parser.
 */

#include "http_connection_base.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <optional>
#include <utility>

namespace chicoryhead {

namespace {

/// Limit for a response body; a page of items and a value of 1 MB in base64 are smaller.
constexpr std::size_t maxBodyBytes = 8U << 20U;

/// TCP_USER_TIMEOUT: the kernel closes a connection if sent data is not acknowledged for this long.
constexpr int userTimeoutMs = 3000;

std::string formatRequest(const http_request &request, const std::string &host)
{
    std::string text =
        request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\n";
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

} // namespace

std::string_view http_response::header(std::string_view name) const
{
    const auto isSameName = [&](const http_header &field) {
        return std::equal(
            field.name.begin(), field.name.end(), name.begin(), name.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    };
    const auto found = std::find_if(headers.begin(), headers.end(), isSameName);
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

http_connection::http_connection(asio::io_context &context, const endpoint &server,
                                 std::string_view name)
    : m_context(context), m_server(server), m_name(name), m_socket(context), m_deadline(context)
{
}

http_connection::~http_connection()
{
    ++*m_epoch;
    ++*m_requestEpoch;
}

void http_connection::start(const http_request &request, handler done)
{
    assert(!isBusy());
    m_done = std::move(done);
    m_request = formatRequest(request, m_name);
    m_isIdempotent = request.method == "GET";
    m_response = {};
    m_hasResponseBytes = false;
    m_isComplete = false;
    m_isReadingHeaderValue = true;
    m_deadline.expires_after(request.timeout);
    m_deadline.async_wait(
        [this, epoch = m_requestEpoch, current = *m_requestEpoch](std::error_code code) {
            if (!code && *epoch == current)
                fail(error::Timeout);
        });
    m_isReused = m_socket.is_open();
    if (m_isReused)
        sendRequest();
    else
        connect();
}

void http_connection::abandon()
{
    m_done = nullptr;
    m_deadline.cancel();
    ++*m_requestEpoch;
    close();
}

void http_connection::setServer(const endpoint &server)
{
    if (server == m_server)
        return;
    m_server = server;
    if (!isBusy())
        close();
}

void http_connection::connect()
{
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(m_server.address), m_server.port);
    m_socket.async_connect(
        target, [this, epoch = m_epoch, current = *m_epoch](std::error_code code) {
            if (*epoch != current)
                return;
            if (code) {
                fail(error::StoreUnavailable);
                return;
            }
            std::error_code ignored; // both options only make failures visible sooner
            m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            using user_timeout =
                asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
            m_socket.set_option(user_timeout(userTimeoutMs), ignored);
            sendRequest();
        });
}

void http_connection::sendRequest()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    asio::async_write(
        m_socket, asio::buffer(m_request),
        [this, epoch = m_epoch, current = *m_epoch](std::error_code code, std::size_t /*bytes*/) {
            if (*epoch != current)
                return;
            if (code)
                fail(error::OutcomeUnknown);
            else
                receive();
        });
}

void http_connection::receive()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [this, epoch = m_epoch, current = *m_epoch](std::error_code code, std::size_t bytes) {
            if (*epoch != current)
                return;
            if (code || !parse(bytes))
                fail(error::OutcomeUnknown);
            else if (m_isComplete)
                complete();
            else
                receive();
        });
}

bool http_connection::parse(std::size_t bytes)
{
    static const http_parser_settings settings = [] {
        http_parser_settings parserSettings;
        http_parser_settings_init(&parserSettings);
        parserSettings.on_header_field = onHeaderName;
        parserSettings.on_header_value = onHeaderValue;
        parserSettings.on_body = onBody;
        parserSettings.on_message_complete = onComplete;
        return parserSettings;
    }();
    m_hasResponseBytes = true;
    const std::size_t parsed = http_parser_execute(&m_parser, &settings, m_buffer.data(), bytes);
    return m_isComplete || parsed == bytes;
}

// The parser delivers names and values in pieces.
int http_connection::onHeaderName(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<http_connection *>(parser->data);
    if (std::exchange(self.m_isReadingHeaderValue, false))
        self.m_response.headers.emplace_back();
    self.m_response.headers.back().name.append(data, size);
    return 0;
}

int http_connection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<http_connection *>(parser->data);
    self.m_isReadingHeaderValue = true;
    self.m_response.headers.back().value.append(data, size);
    return 0;
}

int http_connection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<http_connection *>(parser->data);
    if (self.m_response.body.size() + size > maxBodyBytes)
        return 1;
    self.m_response.body.append(data, size);
    return 0;
}

int http_connection::onComplete(http_parser *parser)
{
    auto &self = *static_cast<http_connection *>(parser->data);
    self.m_isComplete = true;
    self.m_response.status = parser->status_code;
    return 0;
}

void http_connection::fail(error code)
{
    close();
    // A server may close a persistent connection at any time; the request was then not processed.
    const bool mayRetry =
        m_isReused && m_isIdempotent && !m_hasResponseBytes && code == error::OutcomeUnknown;
    if (mayRetry) {
        m_isReused = false;
        connect();
        return;
    }
    finish(code);
}

void http_connection::complete()
{
    if (http_should_keep_alive(&m_parser) == 0)
        close();
    finish(std::move(m_response));
}

void http_connection::finish(result<http_response> response)
{
    m_deadline.cancel();
    ++*m_epoch;
    ++*m_requestEpoch;
    const handler done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(response));
}

void http_connection::close()
{
    ++*m_epoch;
    std::error_code ignored; // there is no recovery if closing the socket fails
    m_socket.close(ignored);
}

result<http_response> performRequest(const endpoint &server, const http_request &request)
{
    asio::io_context context(1);
    http_connection connection(context, server, toString(server));
    std::optional<result<http_response>> outcome;
    connection.start(request, [&](result<http_response> response) {
        outcome = std::move(response);
        context.stop();
    });
    context.run();
    return outcome ? std::move(*outcome) : result<http_response>(error::StoreUnavailable);
}

} // namespace chicoryhead
