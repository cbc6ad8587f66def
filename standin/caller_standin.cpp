/**
 * @file caller_standin.cpp
 * Requests and retransmissions of the simulated callers.
 */

#include "caller_standin.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicoryhead::standin {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t batchSize = 16;

/// Send times of an opening packet and its retransmissions, and the time-out of the attempt, as on
/// the platform.
constexpr std::array<monotonic_time, 3> openingSendTimes {0ms, 200ms, 600ms};
constexpr monotonic_time openingTimeout = 1400ms;
/// Initial and maximum delay between retransmissions of a request, as on the platform.
constexpr monotonic_time initialRetryDelay = 200ms;
constexpr monotonic_time maxRetryDelay = 1600ms;
/// A caller aborts a request after this time, which is longer than any recovery bound.
constexpr monotonic_time requestDeadline = 15s;

} // namespace

caller_standin::caller_standin(asio::io_context &context, const endpoint &address, router route,
                               const clock_source &clock, random_source &random,
                               deployment_observer &observer)
    : m_address(address)
    , m_route(std::move(route))
    , m_clock(clock)
    , m_random(random)
    , m_observer(observer)
    , m_socket(
          context, address,
          [this](std::span<const std::byte> bytes, const endpoint & /*from*/) {
              onDatagram(bytes);
          },
          batchSize)
{
    m_socket.setBatchHandler([this] { m_socket.flush(); });
    m_socket.start();
}

void caller_standin::open(const endpoint &service, unsigned requests, monotonic_time thinkTime)
{
    const flow_key key {{m_address.address, m_nextPort++}, service, transport::Tcp};
    caller_flow &flow = m_flows[key];
    flow = {};
    flow.start = static_cast<std::uint32_t>(m_random.next());
    flow.next = flow.start + 1;
    flow.remaining = requests;
    flow.thinkTime = thinkTime;
    flow.startedAt = m_clock.now();
}

void caller_standin::tick()
{
    const auto now = m_clock.now();
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        auto &[key, flow] = *entry;
        const bool isActive =
            flow.upstream.empty() ? tickOpening(key, flow, now) : tickOpen(key, flow, now);
        entry = isActive ? std::next(entry) : m_flows.erase(entry);
    }
    m_socket.flush();
}

bool caller_standin::tickOpening(const flow_key &key, caller_flow &flow, monotonic_time now)
{
    const auto age = now - flow.startedAt;
    if (age >= openingTimeout) {
        m_observer.onNotOpened(key, false);
        return false;
    }
    if (flow.copies < openingSendTimes.size() && age >= openingSendTimes.at(flow.copies)) {
        platform::wire_packet packet;
        packet.isOpening = true;
        packet.sequence = flow.start;
        packet.acknowledged = flow.copies++;
        send(key, flow, packet);
    }
    return true;
}

bool caller_standin::tickOpen(const flow_key &key, caller_flow &flow, monotonic_time now)
{
    if (now < flow.nextSendAt)
        return true;
    if (flow.request.empty()) {
        if (flow.remaining == 0) {
            sendEnd(key, flow);
            return false;
        }
        flow.request = "request " + std::to_string(m_nextRequest++);
        flow.requestAt = now;
        flow.retryDelay = initialRetryDelay;
    } else if (now - flow.requestAt >= requestDeadline) {
        m_observer.onBroken(key, flow.upstream, "request without answer");
        return false;
    } else {
        flow.retryDelay = std::min(flow.retryDelay * 2, maxRetryDelay);
    }
    flow.nextSendAt = now + flow.retryDelay;
    platform::wire_packet packet;
    packet.isAck = true;
    packet.sequence = flow.next;
    packet.acknowledged = flow.acknowledged;
    packet.data = flow.request;
    send(key, flow, packet);
    return true;
}

void caller_standin::endAll()
{
    for (const auto &[key, flow] : m_flows) {
        if (!flow.upstream.empty())
            sendEnd(key, flow);
    }
    m_flows.clear();
    m_socket.flush();
}

void caller_standin::sendEnd(const flow_key &key, const caller_flow &flow)
{
    platform::wire_packet packet;
    packet.isFin = true;
    packet.isAck = true;
    packet.sequence = flow.next;
    packet.acknowledged = flow.acknowledged;
    send(key, flow, packet);
}

void caller_standin::send(const flow_key &key, const caller_flow &flow,
                          platform::wire_packet packet)
{
    packet.source = key.caller;
    packet.target = key.service;
    packet.tag = m_omitsTags ? 0 : flow.tag;
    if (const auto instance = m_route(key))
        m_socket.send(*instance, platform::encodePacket(packet));
}

void caller_standin::onDatagram(std::span<const std::byte> bytes)
{
    const auto packet = platform::decodeWirePacket(bytes);
    if (!packet)
        return;
    const flow_key key {packet.value().target, packet.value().source, transport::Tcp};
    const auto entry = m_flows.find(key);
    if (entry == m_flows.end())
        return;
    caller_flow &flow = entry->second;
    if (packet.value().isReset) {
        if (flow.upstream.empty())
            m_observer.onNotOpened(key, true);
        else
            m_observer.onBroken(key, flow.upstream, "reset");
        m_flows.erase(entry);
    } else if (packet.value().isOpening) {
        onOpened(key, flow, packet.value());
    } else {
        onAnswer(key, flow, packet.value());
    }
}

void caller_standin::onOpened(const flow_key &key, caller_flow &flow,
                              const platform::wire_packet &packet)
{
    // A caller echoes the tag that it received last, even if the opening answer is a late
    // duplicate.
    flow.tag = packet.tag;
    if (!flow.upstream.empty())
        return;
    flow.upstream = packet.data;
    flow.acknowledged = packet.sequence + 1;
    flow.nextSendAt = m_clock.now();
    m_observer.onOpened(key, flow.upstream);
}

void caller_standin::onAnswer(const flow_key &key, caller_flow &flow,
                              const platform::wire_packet &packet)
{
    if (flow.request.empty() || !packet.data.starts_with(flow.request + ' '))
        return;
    const auto now = m_clock.now();
    const std::string upstream = packet.data.substr(flow.request.size() + 1);
    if (upstream != flow.upstream) {
        m_observer.onBroken(key, flow.upstream, "answered by " + upstream);
        m_flows.erase(key);
        return;
    }
    m_observer.onAnswered(key, upstream, now - flow.requestAt);
    flow.tag = packet.tag;
    flow.next += static_cast<std::uint32_t>(flow.request.size());
    flow.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    flow.request.clear();
    flow.nextSendAt = now + flow.thinkTime;
    if (flow.remaining > 0)
        --flow.remaining;
    platform::wire_packet acknowledgement;
    acknowledgement.isAck = true;
    acknowledgement.sequence = flow.next;
    acknowledgement.acknowledged = flow.acknowledged;
    send(key, flow, acknowledgement);
}

} // namespace chicoryhead::standin
