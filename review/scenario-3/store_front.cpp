/**
 * @file store_front.cpp
 * Relays bytes in both directions until a connection goes silent.
 */

#include "store_front.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace chicoryhead::review {

namespace {

using asio::ip::tcp;

tcp::endpoint toTcp(const endpoint &address)
{
    return {asio::ip::address_v4(address.address), address.port};
}

} // namespace

struct store_front::link
{
    explicit link(tcp::socket accepted) : client(std::move(accepted)), server(client.get_executor())
    {
    }

    void end()
    {
        std::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool isSilent = false;
    std::array<std::array<char, 65536>, 2> buffers;
};

store_front::store_front(asio::io_context &context, const endpoint &listen, const endpoint &store)
    : m_store(toTcp(store)), m_acceptor(context, toTcp(listen))
{
    accept();
}

void store_front::accept()
{
    m_acceptor.async_accept([this](std::error_code code, tcp::socket accepted) {
        if (code == asio::error::operation_aborted)
            return;
        accept();
        if (code)
            return;
        auto open = std::make_shared<link>(std::move(accepted));
        m_links.push_back(open);
        open->server.async_connect(m_store, [this, open](std::error_code failure) {
            if (failure) {
                open->end();
                return;
            }
            relay(open, false);
            relay(open, true);
        });
    });
}

void store_front::silenceOpenConnections()
{
    for (const auto &weak : m_links) {
        if (const auto open = weak.lock())
            open->isSilent = true;
    }
    m_links.clear();
}

void store_front::relay(const std::shared_ptr<link> &open, bool isAnswer)
{
    tcp::socket &source = isAnswer ? open->server : open->client;
    auto &buffer = open->buffers.at(isAnswer ? 1 : 0);
    source.async_read_some(
        asio::buffer(buffer), [this, open, isAnswer](std::error_code code, std::size_t bytes) {
            // The client must not see that the store closes a silent connection.
            if (code && open->isSilent && isAnswer)
                return;
            if (code) {
                open->end();
                return;
            }
            if (open->isSilent) {
                relay(open, isAnswer);
                return;
            }
            tcp::socket &target = isAnswer ? open->client : open->server;
            asio::async_write(target,
                              asio::buffer(open->buffers.at(isAnswer ? 1 : 0).data(), bytes),
                              [this, open, isAnswer](std::error_code failure, std::size_t) {
                                  if (failure)
                                      open->end();
                                  else
                                      relay(open, isAnswer);
                              });
        });
}

} // namespace chicoryhead::review
