/**
 * @file store_front.h
 * An address of the store, whose open connections can go silent.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <vector>

namespace chicoryhead::review {

/** Relays connections to a store. */
class store_front
{
public:
    store_front(asio::io_context &context, const endpoint &listen, const endpoint &store);

    /**
     * Drops all bytes of the connections that are open now, without closing them; later connections
     * work.
     */
    void silenceOpenConnections();

private:
    struct link;

    void accept();
    void relay(const std::shared_ptr<link> &open, bool isAnswer);

    asio::ip::tcp::endpoint m_store;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<link>> m_links;
};

} // namespace chicoryhead::review
