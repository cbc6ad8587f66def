/**
 * @file test_http_connection.cpp
 * Requests whose server closes the connection, or stays silent.
 */

#include "http/http_connection_base.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <string>
#include <utility>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

/**
 * Answers the first request of its first connection and closes that after the second one. Sends a
 * text on all further connections, and leaves them open.
 */
class closing_server
{
public:
    closing_server(asio::io_context &context, std::string laterAnswer)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
        , m_closing(context)
        , m_laterAnswer(std::move(laterAnswer))
    {
        accept();
    }

    endpoint address() const
    {
        return {m_acceptor.local_endpoint().address().to_v4().to_uint(),
                m_acceptor.local_endpoint().port()};
    }

    std::size_t connections = 0;

private:
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code code, asio::ip::tcp::socket accepted) {
            if (code)
                return;
            ++connections;
            auto &socket = m_sockets.emplace_back(std::move(accepted));
            read(socket, connections == 1);
            accept();
        });
    }

    void read(asio::ip::tcp::socket &socket, bool isFirst)
    {
        asio::async_read_until(socket, m_input, "\r\n\r\n",
                               [&, isFirst](std::error_code code, std::size_t bytes) {
                                   m_input.consume(bytes);
                                   if (!code)
                                       answer(socket, isFirst);
                               });
    }

    void answer(asio::ip::tcp::socket &socket, bool isFirst)
    {
        if (!isFirst) {
            asio::write(socket, asio::buffer(m_laterAnswer));
        } else if (!std::exchange(m_hasAnswered, true)) {
            asio::write(
                socket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
            read(socket, true);
        } else {
            m_closing.expires_after(500ms);
            m_closing.async_wait([&](std::error_code) { socket.close(); });
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_closing;
    std::deque<asio::ip::tcp::socket> m_sockets;
    asio::streambuf m_input;
    std::string m_laterAnswer;
    bool m_hasAnswered = false;
};

} // namespace

TEST_CASE("A request that is repeated on a new connection ends at its deadline", "[http]")
{
    // Guards against an instance that never calls the store again after an outage: the repeated
    // request had no deadline.
    asio::io_context context;
    closing_server server(
        context,
        GENERATE(std::string(), std::string("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")));
    http_connection connection(context, server.address(), "store");
    http_request request {"GET", "/", "", 1s};
    connection.start(request, [&](const result<http_response> &first) {
        REQUIRE(first.has_value());
        context.stop();
    });
    context.run_for(1s);
    context.restart();
    unsigned outcomes = 0;
    const auto startedAt = std::chrono::steady_clock::now();
    auto endedAfter = 0ns;
    request.timeout = 800ms;
    connection.start(request, [&](const result<http_response> &second) {
        ++outcomes;
        endedAfter = std::chrono::steady_clock::now() - startedAt;
        REQUIRE_FALSE(second.has_value());
        CHECK(second.error() == error::Timeout);
    });
    context.run_for(2s);
    CHECK(server.connections == 2);
    CHECK(outcomes == 1);
    // One deadline for both attempts: the second one gets what the first has left.
    CHECK(endedAfter >= 800ms);
    CHECK(endedAfter < 1300ms);
    CHECK_FALSE(connection.isBusy());
}
