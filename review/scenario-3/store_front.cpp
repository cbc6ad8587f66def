/**
 * @file store_front.cpp
 * Requests are separated, so that each one is relayed or refused as a whole.
 */

#include "store_front.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <cstdlib>
#include <string_view>
#include <utility>

namespace chicoryhead::review {

namespace {

using asio::ip::tcp;

constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                     "Content-Type: application/json\r\n"
                                     "Store-Era: 1\r\n"
                                     "Content-Length: 2\r\n\r\n{}";

tcp::endpoint toTcp(const endpoint &address)
{
    return {asio::ip::address_v4(address.address), address.port};
}

/// Size of the first request in the text; 0 if it is not complete.
std::size_t requestSize(const std::string &text)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    constexpr std::string_view name = "Content-Length: ";
    const auto length = text.find(name);
    std::size_t size = end + 4;
    if (length != std::string::npos && length < end)
        size += std::strtoul(text.c_str() + length + name.size(), nullptr, 10);
    return text.size() >= size ? size : 0;
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

    /// Requests of one client follow each other, so a blocking write of a request is short.
    void send(tcp::socket &target, std::string_view text)
    {
        std::error_code failure;
        asio::write(target, asio::buffer(text.data(), text.size()), failure);
        if (failure)
            end();
    }

    tcp::socket client;
    tcp::socket server;
    std::string received;
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
            readRequests(open);
            readAnswers(open);
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

void store_front::readRequests(const std::shared_ptr<link> &open)
{
    open->client.async_read_some(asio::buffer(open->buffers[0]),
                                 [this, open](std::error_code code, std::size_t bytes) {
                                     if (code) {
                                         open->end();
                                         return;
                                     }
                                     if (!open->isSilent) {
                                         open->received.append(open->buffers[0].data(), bytes);
                                         handleRequests(open);
                                     }
                                     readRequests(open);
                                 });
}

void store_front::handleRequests(const std::shared_ptr<link> &open)
{
    while (const std::size_t size = requestSize(open->received)) {
        const std::string request = open->received.substr(0, size);
        open->received.erase(0, size);
        ++(m_isRefusing ? m_refused : m_relayed);
        if (m_isRefusing)
            open->send(open->client, refusal);
        else
            open->send(open->server, request);
    }
}

void store_front::readAnswers(const std::shared_ptr<link> &open)
{
    open->server.async_read_some(
        asio::buffer(open->buffers[1]), [this, open](std::error_code code, std::size_t bytes) {
            if (code && open->isSilent)
                return;
            if (code) {
                open->end();
                return;
            }
            if (open->isSilent) {
                readAnswers(open);
                return;
            }
            asio::async_write(open->client, asio::buffer(open->buffers[1].data(), bytes),
                              [this, open](std::error_code failure, std::size_t /*written*/) {
                                  if (failure)
                                      open->end();
                                  else
                                      readAnswers(open);
                              });
        });
}

} // namespace chicoryhead::review
