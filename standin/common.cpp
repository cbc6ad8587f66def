/**
 * @file common.cpp
 * Packets, sockets and the HTTP client of the stand-ins.
 */

#include "common.h"
#include "packet/packet_func.h"

#include <curl/curl.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace standin {

namespace {

constexpr int socketBufferBytes = 4 << 20;

Tins::IPv4Address toTins(std::uint32_t address)
{
    return Tins::IPv4Address(asio::detail::socket_ops::host_to_network_long(address));
}

std::uint32_t fromTins(const Tins::IPv4Address &address)
{
    return asio::detail::socket_ops::network_to_host_long(std::uint32_t {address});
}

Tins::TCP buildTcp(const inner_packet &packet)
{
    Tins::TCP tcp(packet.destination.port, packet.source.port);
    tcp.seq(packet.segment.sequence);
    tcp.ack_seq(packet.segment.acknowledgement);
    tcp.window(65535);
    tcp.set_flag(Tins::TCP::SYN, packet.segment.syn);
    tcp.set_flag(Tins::TCP::ACK, packet.segment.ack);
    tcp.set_flag(Tins::TCP::FIN, packet.segment.fin);
    tcp.set_flag(Tins::TCP::RST, packet.segment.rst);
    return tcp;
}

byte_string payloadOf(const Tins::PDU &pdu)
{
    const auto *raw = pdu.find_pdu<Tins::RawPDU>();
    return raw != nullptr ? raw->payload() : byte_string {};
}

void readTcp(const Tins::TCP &tcp, inner_packet &packet)
{
    packet.protocol = transport::Tcp;
    packet.source.port = tcp.sport();
    packet.destination.port = tcp.dport();
    packet.segment.sequence = tcp.seq();
    packet.segment.acknowledgement = tcp.ack_seq();
    packet.segment.syn = tcp.get_flag(Tins::TCP::SYN) != 0;
    packet.segment.ack = tcp.get_flag(Tins::TCP::ACK) != 0;
    packet.segment.fin = tcp.get_flag(Tins::TCP::FIN) != 0;
    packet.segment.rst = tcp.get_flag(Tins::TCP::RST) != 0;
    packet.segment.payload = payloadOf(tcp);
}

asio::ip::udp::endpoint toAsio(const endpoint &value)
{
    return {asio::ip::address_v4(value.address), value.port};
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

endpoint endpointOrThrow(const std::string &text)
{
    const auto value = chicoryhead::parseEndpoint(text);
    if (!value)
        throw std::invalid_argument("not an address of the form a.b.c.d:port: '" + text + "'");
    return value.value();
}

endpoint endpointOrExit(const std::string &text)
{
    try {
        return endpointOrThrow(text);
    } catch (const std::invalid_argument &failure) {
        std::cerr << failure.what() << '\n';
        std::exit(2);
    }
}

std::vector<endpoint> endpointsOrExit(const std::string &text)
{
    std::vector<endpoint> values;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        values.push_back(endpointOrExit(item));
    return values;
}

tick nowTick()
{
    return std::chrono::duration_cast<tick>(std::chrono::steady_clock::now().time_since_epoch());
}

std::vector<std::byte> buildPacket(const inner_packet &packet)
{
    Tins::IP ip(toTins(packet.destination.address), toTins(packet.source.address));
    ip.ttl(64);
    const bool isTcp = packet.protocol == transport::Tcp;
    const byte_string &payload = isTcp ? packet.segment.payload : packet.payload;
    if (isTcp)
        ip /= buildTcp(packet);
    else
        ip /= Tins::UDP(packet.destination.port, packet.source.port);
    if (!payload.empty())
        ip /= Tins::RawPDU(payload);
    const auto bytes = ip.serialize();
    const auto view = std::as_bytes(std::span(bytes));
    return {view.begin(), view.end()};
}

std::optional<inner_packet> parsePacket(byte_view bytes)
{
    try {
        Tins::IP ip(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                    static_cast<std::uint32_t>(bytes.size()));
        // Serializing computes the checksums anew, so a changed byte shows as a difference.
        const auto again = ip.serialize();
        const auto view = std::as_bytes(std::span(again));
        if (!std::equal(view.begin(), view.end(), bytes.begin(), bytes.end()))
            return std::nullopt;
        inner_packet packet;
        packet.source.address = fromTins(ip.src_addr());
        packet.destination.address = fromTins(ip.dst_addr());
        if (const auto *tcp = ip.find_pdu<Tins::TCP>()) {
            readTcp(*tcp, packet);
            return packet;
        }
        const auto *udp = ip.find_pdu<Tins::UDP>();
        if (udp == nullptr)
            return std::nullopt;
        packet.protocol = transport::Udp;
        packet.source.port = udp->sport();
        packet.destination.port = udp->dport();
        packet.payload = payloadOf(*udp);
        return packet;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

chicoryhead::request_frame makeFrame(chicoryhead::frame_kind kind, std::uint64_t requestId)
{
    chicoryhead::request_frame frame;
    frame.kind = kind;
    frame.requestId = requestId;
    return frame;
}

std::vector<std::byte> buildFramePacket(const endpoint &source, const endpoint &destination,
                                        const chicoryhead::request_frame &frame)
{
    const auto bytes = chicoryhead::encodeFrame(frame);
    const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return buildPacket({source, destination, transport::Udp, {}, {first, first + bytes.size()}});
}

udp_socket::udp_socket(asio::io_context &context, const endpoint &local, handler onDatagram)
    : m_socket(context, toAsio(local)), m_handler(std::move(onDatagram))
{
    m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes));
    m_socket.non_blocking(true);
    receive();
}

void udp_socket::send(byte_view bytes, const endpoint &destination)
{
    std::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), toAsio(destination), 0, ignored);
}

void udp_socket::receive()
{
    m_socket.async_wait(asio::socket_base::wait_read, [this](const std::error_code &waitError) {
        if (waitError)
            return;
        // A bounded batch for each wake-up, so that timers and HTTP get their turn.
        for (int i = 0; i < 64; ++i) {
            asio::ip::udp::endpoint source;
            std::error_code error;
            const std::size_t size =
                m_socket.receive_from(asio::buffer(m_buffer), source, 0, error);
            if (error == asio::error::would_block)
                break;
            if (!error)
                m_handler(byte_view(m_buffer).first(size),
                          {source.address().to_v4().to_uint(), source.port()});
        }
        receive();
    });
}

packet_sprayer::packet_sprayer(asio::io_context &context, std::uint64_t seed)
    : m_context(context), m_random(seed)
{
}

void packet_sprayer::send(udp_socket &socket, byte_view bytes, std::optional<endpoint> fixed)
{
    std::uniform_real_distribution<double> share(0, 1);
    const bool isLost = share(m_random) < m_faults.loss;
    if (isLost || (!fixed && m_instances.empty())) {
        ++m_dropped;
        return;
    }
    const int copies = share(m_random) < m_faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        sendDelayed(socket, bytes, fixed ? *fixed : m_instances[m_random() % m_instances.size()]);
}

void packet_sprayer::sendDelayed(udp_socket &socket, byte_view bytes, const endpoint &destination)
{
    std::uniform_int_distribution<int> jitter(0, m_faults.jitterMs);
    const tick delay(m_faults.delayMs + jitter(m_random));
    if (delay == tick::zero()) {
        socket.send(bytes, destination);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait(
        [timer, &socket, destination, copy = std::vector<std::byte>(bytes.begin(), bytes.end())](
            const std::error_code &) { socket.send(copy, destination); });
}

void packet_sprayer::configure(const json &document)
{
    const auto read = [&document](const char *name) {
        std::vector<endpoint> values;
        for (const auto &item : document.value(name, json::array()))
            values.push_back(endpointOrThrow(item.get<std::string>()));
        return values;
    };
    if (document.contains("instances"))
        m_instances = read("instances");
    for (const endpoint &added : read("add"))
        m_instances.push_back(added);
    for (const endpoint &removed : read("remove"))
        std::erase(m_instances, removed);
    m_faults.loss = document.value("loss", m_faults.loss);
    m_faults.duplicate = document.value("duplicate", m_faults.duplicate);
    m_faults.delayMs = document.value("delay_ms", m_faults.delayMs);
    m_faults.jitterMs = document.value("jitter_ms", m_faults.jitterMs);
}

json packet_sprayer::describe() const
{
    json instances = json::array();
    for (const endpoint &instance : m_instances)
        instances.push_back(toString(instance));
    return {{"instances", instances},
            {"loss", m_faults.loss},
            {"duplicate", m_faults.duplicate},
            {"delay_ms", m_faults.delayMs},
            {"jitter_ms", m_faults.jitterMs}};
}

http_response jsonResponse(const json &document)
{
    return {200, document.dump(), {{"Content-Type", "application/json"}}};
}

http_response httpCall(const std::string &method, const std::string &url, const std::string &body,
                       int timeoutMs)
{
    const std::unique_ptr<CURL, void (*)(CURL *)> handle(curl_easy_init(), &curl_easy_cleanup);
    http_response response {0, {}, {}};
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    if (method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
    }
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeoutMs));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
    if (curl_easy_perform(handle.get()) != CURLE_OK)
        return response;
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

json_poller::json_poller(asio::io_context &context, std::string url,
                         std::function<void(json)> handler)
    : m_thread([&context, url = std::move(url),
                handler = std::move(handler)](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            const http_response response = httpCall("GET", url, {}, 500);
            json document = json::parse(response.body, nullptr, false);
            if (response.status == 200 && !document.is_discarded())
                asio::post(context, [handler, document] { handler(document); });
            std::this_thread::sleep_for(tick(100));
        }
    })
{
}

repeating_timer::repeating_timer(asio::io_context &context, tick period,
                                 std::function<void()> function)
    : m_timer(context, period), m_period(period), m_function(std::move(function))
{
    wait();
}

void repeating_timer::wait()
{
    m_timer.async_wait([this](const std::error_code &error) {
        if (error)
            return;
        m_function();
        // From the last expiry, not from now: otherwise a busy process would fall behind its rate.
        m_timer.expires_at(m_timer.expiry() + m_period);
        wait();
    });
}

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) { context.stop(); });
    context.run();
}

} // namespace standin
