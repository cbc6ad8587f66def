/**
 * @file tcp_proxy.h
 * Loopback TCP proxy that injects network faults.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace chicoryhead::standin {

/** How a proxy treats connections and their data. */
enum class proxy_mode : std::uint8_t {
    Pass,
    Delay,       ///< answers are delayed
    Reset,       ///< open and new connections are reset
    Silent,      ///< connections stay open, but all data is dropped
    LoseAnswers, ///< requests are relayed, answers are dropped
};

inline constexpr std::size_t proxyModeCount = 5;

/** Name of a mode for logs. */
std::string_view toString(proxy_mode mode);

/** Relays TCP connections to one target, on an io_context. */
class tcp_proxy
{
public:
    tcp_proxy(asio::io_context &context, const endpoint &listen, const endpoint &target);

    /** Sets the mode, also for open connections. */
    void setMode(proxy_mode mode);

    proxy_mode mode() const { return m_mode; }

private:
    struct connection;

    void accept();
    void relay(const std::shared_ptr<connection> &link, bool isAnswer);
    void pass(const std::shared_ptr<connection> &link, bool isAnswer, std::size_t bytes);

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<connection>> m_connections;
    proxy_mode m_mode = proxy_mode::Pass;
};

} // namespace chicoryhead::standin
