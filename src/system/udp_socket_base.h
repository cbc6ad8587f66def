/**
 * @file udp_socket_base.h
 * UDP socket that receives and sends datagrams in batches.
 */

#pragma once

#include "core/core_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <sys/socket.h>

#include <netinet/in.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace chicoryhead {

/** Largest datagram that is received; longer ones are truncated and fail to parse. */
inline constexpr std::size_t maxDatagramBytes = 2048;

/**
 * A bound UDP socket on an io_context.
 *
 * Asio has no call that transfers several datagrams at once. With one system call per batch instead
 * of one per datagram, a small instance forwards at nearly the rate of a bare receive and send
 * loop.
 */
class udp_socket
{
public:
    using receiver = std::function<void(std::span<const std::byte>, const endpoint &from)>;

    /** Datagrams per system call; 64 buffers take 128 KB per direction. */
    static constexpr std::size_t defaultBatchSize = 64;

    /** @throw std::system_error if the address can't be bound. */
    udp_socket(asio::io_context &context, const endpoint &address, receiver handler,
               std::size_t batchSize = defaultBatchSize);

    /** Starts receiving. */
    void start();

    /** Handles all datagrams already received by the kernel; called before the socket is closed. */
    void receivePending();

    /**
     * Handles datagrams already received by the kernel, as many as after one notification.
     * @return whether none is left.
     */
    bool receiveAvailable();

    /** Queues a datagram; it is sent at the end of the current batch or by flush(). */
    void send(const endpoint &target, std::span<const std::byte> datagram);

    /** Sends the queued datagrams; those that the kernel does not accept are dropped, like losses
     * in the network. */
    void flush();

    /** Local port of the socket. */
    std::uint16_t localPort() const { return m_socket.local_endpoint().port(); }

    /** Called after each received batch, for example to flush other sockets. */
    void setBatchHandler(std::function<void()> handler) { m_batchHandler = std::move(handler); }

private:
    using datagram_buffer = std::array<std::byte, maxDatagramBytes>;

    struct buffer_set
    {
        explicit buffer_set(std::size_t size);

        /// Not initialised, so that a memory page is allocated only on first use.
        std::unique_ptr<datagram_buffer[]> buffers;
        std::vector<sockaddr_in> addresses;
        std::vector<iovec> vectors;
        std::vector<mmsghdr> headers;
    };

    void waitReadable();
    bool receiveBatch();

    std::size_t m_batchSize;
    asio::ip::udp::socket m_socket;
    receiver m_handler;
    std::function<void()> m_batchHandler;
    buffer_set m_incoming;
    buffer_set m_outgoing;
    std::size_t m_queued = 0; ///< datagrams in m_outgoing
};

} // namespace chicoryhead
