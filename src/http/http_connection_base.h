/**
 * @file http_connection_base.h
 * One HTTP/1.1 connection that carries one call after the other.
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

namespace chicoryhead {

/** One call. */
struct http_request
{
    std::string method = "GET";
    std::string target; ///< path and query
    std::string body;   ///< JSON; empty for none
    std::chrono::milliseconds timeout {1500};
};

/** Answer to a call. */
struct http_response
{
    unsigned status = 0;
    std::string body;
};

/**
 * Makes one call on a connection of its own and waits for the answer.
 * @return the answer, or the errors of http_connection.
 */
result<http_response> performRequest(const endpoint &server, const http_request &request);

/**
 * A connection that is opened when a call needs it and kept while the server keeps it. The time of
 * a call includes the time to connect, so a connection that fell silent ends with the call.
 */
class http_connection
{
public:
    /**
     * Gets the answer; error::StoreUnavailable if the server surely has not seen the call,
     * error::Timeout, or error::OutcomeUnknown if the connection failed after the call was sent.
     */
    using handler = std::function<void(result<http_response>)>;

    http_connection(asio::io_context &context, const endpoint &server, std::string_view name);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /** Starts a call; no other one may be under way. */
    void start(const http_request &request, handler done);

    /** Ends the call under way without calling its handler, and closes the connection. */
    void abandon();

    bool isBusy() const { return m_done != nullptr; }

    /** Server of the calls from now on; closes the connection if it changes. */
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
    handler m_done;              ///< null when no call is under way
    bool m_isReused = false;     ///< the connection carried a call before this one
    bool m_isIdempotent = false; ///< sending the call twice does no harm
    bool m_hasResponseBytes = false;
    bool m_isComplete = false;
    /// Distinguishes handlers of an abandoned call from those of the current one.
    std::shared_ptr<int> m_epoch = std::make_shared<int>(0);
};

} // namespace chicoryhead
