/**
 * @file store_front.h
 * An address of the store: relays HTTP requests to it, or refuses them.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace chicoryhead::review {

/** Relays connections to a store. */
class store_front
{
public:
    store_front(asio::io_context &context, const endpoint &listen, const endpoint &store);

    /** Answers all later requests with 503, also on connections that are open. */
    void refuse() { m_isRefusing = true; }

    /**
     * Drops all bytes of the connections that are open now, without closing them; later connections
     * work.
     */
    void silenceOpenConnections();

    unsigned requestsRelayed() const { return m_relayed; }
    unsigned requestsRefused() const { return m_refused; }

private:
    struct link;

    void accept();
    void readRequests(const std::shared_ptr<link> &open);
    void handleRequests(const std::shared_ptr<link> &open);
    void readAnswers(const std::shared_ptr<link> &open);

    asio::ip::tcp::endpoint m_store;
    asio::ip::tcp::acceptor m_acceptor;
    bool m_isRefusing = false;
    unsigned m_relayed = 0;
    unsigned m_refused = 0;
    std::vector<std::weak_ptr<link>> m_links;
};

} // namespace chicoryhead::review
