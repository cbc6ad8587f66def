/**
 * @file tcp_proxy.h
 * Loopback proxy that makes connections fail in the ways that networks do.
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

/** What a proxy does to bytes. */
enum class proxy_mode : std::uint8_t {
    Pass,
    Delay,       ///< answers wait for the proxy's delay
    Reset,       ///< connections are reset, new ones too
    Silent,      ///< connections stay, and nothing passes
    LoseAnswers, ///< calls pass, answers don't
};

/** Number of modes. */
inline constexpr std::size_t proxyModeCount = 5;

/** Name of a mode for logs. */
std::string_view toString(proxy_mode mode);

/** A proxy on an io_context. */
class tcp_proxy
{
public:
    tcp_proxy(asio::io_context &context, const endpoint &listen, const endpoint &target);

    /** Changes the mode, also of connections that are open. */
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
