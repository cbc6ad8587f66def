/**
 * @file udp_socket.cpp
 * Batched UDP input and output with recvmmsg() and sendmmsg().
 */

#include "udp_socket_base.h"

#include <cstring>

namespace chicoryhead {

namespace {

/// Largest number of batches per wakeup; control then returns to the event loop, so that timers
/// are not starved.
constexpr int batchesPerWakeup = 8;
constexpr int socketBufferBytes = 4 * 1024 * 1024;

endpoint fromNative(const sockaddr_in &native)
{
    return {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
}

sockaddr_in toNative(const endpoint &address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(address.address);
    native.sin_port = htons(address.port);
    return native;
}

} // namespace

udp_socket::buffer_set::buffer_set(std::size_t size)
    : buffers(std::make_unique_for_overwrite<datagram_buffer[]>(size))
    , addresses(size)
    , vectors(size)
    , headers(size)
{
    for (std::size_t index = 0; index < size; ++index) {
        vectors[index] = {buffers[index].data(), maxDatagramBytes};
        msghdr &header = headers[index].msg_hdr;
        header.msg_name = &addresses[index];
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_iov = &vectors[index];
        header.msg_iovlen = 1;
    }
}

namespace {

asio::ip::udp::socket bindSocket(asio::io_context &context, const endpoint &address)
{
    try {
        return {context,
                asio::ip::udp::endpoint(asio::ip::address_v4(address.address), address.port)};
    } catch (const std::system_error &failure) {
        throw std::system_error(failure.code(), "UDP address " + toString(address));
    }
}

} // namespace

udp_socket::udp_socket(asio::io_context &context, const endpoint &address, receiver handler,
                       std::size_t batchSize)
    : m_batchSize(batchSize)
    , m_socket(bindSocket(context, address))
    , m_handler(std::move(handler))
    , m_incoming(batchSize)
    , m_outgoing(batchSize)
{
    m_socket.non_blocking(true);
    // The kernel may limit the buffers to a smaller size; bursts then lose datagrams earlier.
    std::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    m_socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
}

void udp_socket::start()
{
    waitReadable();
}

void udp_socket::waitReadable()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code code) {
        if (code)
            return;
        receiveAvailable();
        waitReadable();
    });
}

bool udp_socket::receiveAvailable()
{
    for (int batch = 0; batch < batchesPerWakeup; ++batch) {
        if (!receiveBatch())
            return true;
    }
    return false;
}

void udp_socket::receivePending()
{
    while (receiveBatch()) { }
}

/// Returns whether more datagrams may be pending.
bool udp_socket::receiveBatch()
{
    for (auto &header : m_incoming.headers)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    const int count = ::recvmmsg(m_socket.native_handle(), m_incoming.headers.data(),
                                 static_cast<unsigned>(m_batchSize), MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return false;
    for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index) {
        const std::span<const std::byte> bytes(m_incoming.buffers[index].data(),
                                               m_incoming.headers[index].msg_len);
        m_handler(bytes, fromNative(m_incoming.addresses[index]));
    }
    flush();
    if (m_batchHandler)
        m_batchHandler();
    return static_cast<std::size_t>(count) == m_batchSize;
}

void udp_socket::send(const endpoint &target, std::span<const std::byte> datagram)
{
    if (datagram.size() > maxDatagramBytes)
        return;
    if (m_queued == m_batchSize)
        flush();
    std::memcpy(m_outgoing.buffers[m_queued].data(), datagram.data(), datagram.size());
    m_outgoing.vectors[m_queued].iov_len = datagram.size();
    m_outgoing.addresses[m_queued] = toNative(target);
    ++m_queued;
}

void udp_socket::flush()
{
    std::size_t sent = 0;
    while (sent < m_queued) {
        const int count = ::sendmmsg(m_socket.native_handle(), m_outgoing.headers.data() + sent,
                                     static_cast<unsigned>(m_queued - sent), MSG_DONTWAIT);
        // If the socket buffer is full or the target is unreachable, one datagram is dropped and
        // sending continues with the next one.
        sent += count > 0 ? static_cast<std::size_t>(count) : 1;
    }
    m_queued = 0;
}

} // namespace chicoryhead
