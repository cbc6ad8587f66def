/**
 * @file common.h
 * What the stand-ins share: IP packets, UDP sockets, HTTP server and client, packet faults.
 */

#pragma once

#include "common_tcp.h"
#include "core/core_type.h"
#include "packet/packet_type.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using chicoryhead::endpoint;
using chicoryhead::transport;
using nlohmann::json;
using byte_view = std::span<const std::byte>;

/** Parses "a.b.c.d:port"; throws std::invalid_argument, which HTTP handlers answer with 400. */
endpoint endpointOrThrow(const std::string &text);

/** Parses "a.b.c.d:port" or ends the program with a message. */
endpoint endpointOrExit(const std::string &text);

/** Splits a comma-separated list of endpoints; ends the program at a malformed one. */
std::vector<endpoint> endpointsOrExit(const std::string &text);

/** Milliseconds of the monotonic clock. */
tick nowTick();

/** A parsed inner IP packet. */
struct inner_packet
{
    endpoint source;
    endpoint destination;
    transport protocol = transport::Tcp;
    tcp_segment segment; ///< for TCP
    byte_string payload; ///< for UDP
};

/** Builds an IPv4 packet with checksums by libtins, so that two implementations meet. */
std::vector<std::byte> buildPacket(const inner_packet &packet);

/** Parses an IPv4 packet by libtins; nothing when it is malformed or a checksum is wrong. */
std::optional<inner_packet> parsePacket(byte_view bytes);

/** A request frame without a payload. */
chicoryhead::request_frame makeFrame(chicoryhead::frame_kind kind, std::uint64_t requestId);

/** Builds an IPv4/UDP packet that carries a request frame. */
std::vector<std::byte> buildFramePacket(const endpoint &source, const endpoint &destination,
                                        const chicoryhead::request_frame &frame);

/** UDP socket that hands each datagram to a handler. */
class udp_socket
{
public:
    using handler = std::function<void(byte_view bytes, const endpoint &source)>;

    /** Binds; throws std::system_error when the address is taken. */
    udp_socket(asio::io_context &context, const endpoint &local, handler onDatagram);

    /** Sends one datagram; a full buffer loses it, as a network does. */
    void send(byte_view bytes, const endpoint &destination);

private:
    void receive();

    asio::ip::udp::socket m_socket;
    handler m_handler;
    std::array<std::byte, 65536> m_buffer {};
};

/** Faults of a path, set at run time. */
struct path_faults
{
    double loss = 0;      ///< share of packets that are dropped
    double duplicate = 0; ///< share of packets that are sent twice
    int delayMs = 0;
    int jitterMs = 0; ///< uniform addition to the delay; reorders packets
};

/** Sprays packets at random over the instances' data ports. */
class packet_sprayer
{
public:
    packet_sprayer(asio::io_context &context, std::uint64_t seed);

    /** Sends a packet to a random instance, or to `fixed` when that is set, through the faults. */
    void send(udp_socket &socket, byte_view bytes, std::optional<endpoint> fixed = std::nullopt);

    /** Sets the members that the document has: instances, add, remove, loss, duplicate, ... */
    void configure(const json &document);

    /** The document that configure() takes. */
    json describe() const;

    std::uint64_t dropped() const { return m_dropped; }

private:
    void sendDelayed(udp_socket &socket, byte_view bytes, const endpoint &destination);

    asio::io_context &m_context;
    std::mt19937_64 m_random;
    std::vector<endpoint> m_instances;
    path_faults m_faults;
    std::uint64_t m_dropped = 0;
};

/** A received HTTP request. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

/** An HTTP response. */
struct http_response
{
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
};

using http_reply = std::function<void(http_response)>;
using http_handler = std::function<void(const http_request &, http_reply)>;

/**
 * HTTP server in the thread of an io_context. A reply that is destroyed without a call closes the
 * connection without an answer; one that is kept leaves the client waiting.
 */
class http_server
{
public:
    http_server(asio::io_context &context, const endpoint &local, const http_handler &handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

/** Response with a JSON body. */
http_response jsonResponse(const json &document);

/** Calls a URL and waits. Status 0 when there was no response in time. */
http_response httpCall(const std::string &method, const std::string &url,
                       const std::string &body = {}, int timeoutMs = 2000);

/** Polls a JSON document every 100 ms in a thread and hands it over in the io_context's thread. */
class json_poller
{
public:
    json_poller(asio::io_context &context, std::string url, std::function<void(json)> handler);

private:
    std::jthread m_thread;
};

/** Timer that calls a function again and again. */
class repeating_timer
{
public:
    repeating_timer(asio::io_context &context, tick period, std::function<void()> function);

private:
    void wait();

    asio::steady_timer m_timer;
    tick m_period;
    std::function<void()> m_function;
};

/** Runs the io_context until SIGTERM or SIGINT, or until it is stopped. */
void runUntilSignal(asio::io_context &context);

} // namespace standin
