/**
 * @file tcp_proxy.cpp
 * Connections and relaying of the loopback proxy.
 */

#include "tcp_proxy.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/socket_base.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <functional>

namespace chicoryhead::standin {

namespace {

using asio::ip::tcp;

/// As slow as the slowest answers of the platform's store.
constexpr std::chrono::milliseconds answerDelay {300};

constexpr std::array<std::string_view, proxyModeCount> modeNames {"pass", "delay", "reset",
                                                                  "silent", "lose_answers"};

tcp::endpoint toTcp(const endpoint &address)
{
    return {asio::ip::address_v4(address.address), address.port};
}

void reset(tcp::socket &socket)
{
    std::error_code ignored; // the connection may be closed already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

std::string_view toString(proxy_mode mode)
{
    return modeNames.at(static_cast<std::size_t>(mode));
}

struct tcp_proxy::connection
{
    explicit connection(tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()), timer(client.get_executor())
    {
    }

    void end()
    {
        reset(client);
        reset(server);
    }

    tcp::socket client; ///< connection of the process under test
    tcp::socket server;
    asio::steady_timer timer; ///< delays answers
    std::array<std::array<char, 16384>, 2> buffers;
};

tcp_proxy::tcp_proxy(asio::io_context &context, const endpoint &listen, const endpoint &target)
    : m_context(context), m_target(toTcp(target)), m_acceptor(context, toTcp(listen))
{
    accept();
}

void tcp_proxy::setMode(proxy_mode mode)
{
    m_mode = mode;
    m_connections.remove_if([](const auto &link) { return link.expired(); });
    if (mode != proxy_mode::Reset && mode != proxy_mode::Pass)
        return;
    // Bytes that were dropped in an earlier mode are missing, so open connections can't continue.
    for (const auto &weak : m_connections) {
        if (const auto link = weak.lock())
            link->end();
    }
}

void tcp_proxy::accept()
{
    m_acceptor.async_accept([this](std::error_code code, tcp::socket accepted) {
        if (code == asio::error::operation_aborted)
            return;
        accept();
        if (code)
            return;
        auto link = std::make_shared<connection>(std::move(accepted));
        if (m_mode == proxy_mode::Reset) {
            link->end();
            return;
        }
        m_connections.push_back(link);
        link->server.async_connect(m_target, [this, link](std::error_code failure) {
            if (failure) {
                link->end();
                return;
            }
            relay(link, false);
            relay(link, true);
        });
    });
}

void tcp_proxy::relay(const std::shared_ptr<connection> &link, bool isAnswer)
{
    tcp::socket &source = isAnswer ? link->server : link->client;
    auto &buffer = link->buffers.at(isAnswer ? 1 : 0);
    source.async_read_some(asio::buffer(buffer),
                           [=, this](std::error_code code, std::size_t bytes) {
                               if (code) {
                                   link->end();
                                   return;
                               }
                               const bool isLost = m_mode == proxy_mode::Silent
                                   || (isAnswer && m_mode == proxy_mode::LoseAnswers);
                               if (isLost) {
                                   relay(link, isAnswer);
                               } else if (isAnswer && m_mode == proxy_mode::Delay) {
                                   link->timer.expires_after(answerDelay);
                                   link->timer.async_wait([=, this](std::error_code aborted) {
                                       if (!aborted)
                                           pass(link, isAnswer, bytes);
                                   });
                               } else {
                                   pass(link, isAnswer, bytes);
                               }
                           });
}

void tcp_proxy::pass(const std::shared_ptr<connection> &link, bool isAnswer, std::size_t bytes)
{
    tcp::socket &target = isAnswer ? link->client : link->server;
    const auto buffer = asio::buffer(link->buffers.at(isAnswer ? 1 : 0).data(), bytes);
    asio::async_write(target, buffer, [=, this](std::error_code code, std::size_t /*written*/) {
        if (code)
            link->end();
        else
            relay(link, isAnswer);
    });
}

} // namespace chicoryhead::standin
