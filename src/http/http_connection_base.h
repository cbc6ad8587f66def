/**
 * @file http_connection_base.h
 * Persistent HTTP/1.1 client connection that sends one request at a time.
 */

#pragma once

#include "core/core_error.h"
#include "core/core_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <http_parser.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** An HTTP request. */
struct http_request
{
    std::string method = "GET";
    std::string target; ///< path and query
    std::string body;   ///< JSON; empty if there is none
    std::chrono::milliseconds timeout {1500};
};

/** A header field of an HTTP response. */
struct http_header
{
    std::string name;
    std::string value;
};

/** An HTTP response. */
struct http_response
{
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers; ///< in the order in which they were received

    /** The value of a header field, whose name is not case-sensitive; empty if there is none. */
    std::string_view header(std::string_view name) const;
};

/**
 * Sends one request on a new connection and blocks until the response arrives.
 * @return the response, or an error of http_connection::handler.
 */
result<http_response> performRequest(const endpoint &server, const http_request &request);

/**
 * A connection that is opened on the first request and reused as long as the server keeps it open.
 * The timeout of a request includes the time to connect and all attempts, so each request ends. The
 * connection is closed when a request times out, so an unresponsive connection is not reused.
 */
class http_connection
{
public:
    /**
     * Receives the response, or error::StoreUnavailable if the server can't have received the
     * request, error::Timeout, or error::OutcomeUnknown if the connection failed after the request
     * was sent.
     */
    using handler = std::function<void(result<http_response>)>;

    http_connection(asio::io_context &context, const endpoint &server, std::string_view name);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /** Starts a request; no other request may be in progress. */
    void start(const http_request &request, handler done);

    /** Abandons the request in progress without calling its handler, and closes the connection. */
    void abandon();

    bool isBusy() const { return m_done != nullptr; }

    /** Sets the server for new connections. If it changes, an idle connection is closed. */
    void setServer(const endpoint &server);

private:
    void connect();
    void sendRequest();
    void receive();
    bool parse(std::size_t bytes);
    void fail(error code);
    void complete();
    void finish(result<http_response> response);
    void close();

    static int onHeaderName(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onComplete(http_parser *parser);

    asio::io_context &m_context;
    endpoint m_server;
    std::string m_name; ///< value of the Host header
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_deadline;
    std::string m_request;
    std::array<char, 4096> m_buffer {};
    http_parser m_parser {};
    http_response m_response;
    handler m_done;              ///< null when no request is in progress
    bool m_isReused = false;     ///< the connection served an earlier request
    bool m_isIdempotent = false; ///< the request may be sent again (GET)
    bool m_hasResponseBytes = false;
    bool m_isComplete = false;
    bool m_isReadingHeaderValue = false; ///< of the last header; its name is complete
    /// Incremented when a request ends or the connection is closed, so that completion handlers of
    /// earlier attempts are ignored.
    std::shared_ptr<int> m_epoch = std::make_shared<int>(0);
    /// Incremented when a request ends. The deadline outlives the attempts of its request, so it
    /// doesn't use m_epoch.
    std::shared_ptr<int> m_requestEpoch = std::make_shared<int>(0);
};

} // namespace chicoryhead
