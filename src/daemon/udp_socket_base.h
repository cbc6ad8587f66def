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
#include <span>
#include <vector>

namespace chicoryhead {

/** Longest datagram that is received; longer ones are cut and fail to parse. */
inline constexpr std::size_t maxDatagramBytes = 2048;

/**
 * A bound UDP socket on an io_context.
 *
 * Asio has no call for several datagrams at once. One system call per batch instead of one per
 * datagram is what lets a small instance forward at nearly the rate of a bare loop.
 */
class udp_socket
{
public:
    using receiver = std::function<void(std::span<const std::byte>, const endpoint &from)>;

    /** @throw std::system_error when the address can't be bound. */
    udp_socket(asio::io_context &context, const endpoint &address, receiver handler);

    /** Starts receiving. */
    void start();

    /** Queues a datagram; it leaves at the end of the current batch or with flush(). */
    void send(const endpoint &target, std::span<const std::byte> datagram);

    /** Sends what is queued; datagrams that the kernel refuses are lost, as on any network. */
    void flush();

    /** Port that the socket is bound to. */
    std::uint16_t localPort() const { return m_socket.local_endpoint().port(); }

    /** Called after each received batch, for example to flush other sockets. */
    void setBatchHandler(std::function<void()> handler) { m_batchHandler = std::move(handler); }

private:
    static constexpr std::size_t batchSize = 64;

    struct buffer_set
    {
        std::vector<std::array<std::byte, maxDatagramBytes>> buffers {batchSize};
        std::array<sockaddr_in, batchSize> addresses {};
        std::array<iovec, batchSize> vectors {};
        std::array<mmsghdr, batchSize> headers {};
    };

    void waitReadable();
    void receiveBatches();
    static void connectBuffers(buffer_set &set);

    asio::ip::udp::socket m_socket;
    receiver m_handler;
    std::function<void()> m_batchHandler;
    buffer_set m_incoming;
    buffer_set m_outgoing;
    std::size_t m_queued = 0; ///< datagrams in m_outgoing
};

} // namespace chicoryhead
