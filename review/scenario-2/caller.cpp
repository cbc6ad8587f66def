/**
 * @file caller.cpp
 * Packets and timers of simulated callers.
 */

#include "caller.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t batchSize = 16;
/// PROTOCOL.md: send times of an opening packet and its copies, and the end of the attempt.
constexpr std::array<monotonic_time, 3> openingTimes {0ms, 200ms, 600ms};
constexpr monotonic_time openingTimeout = 1400ms;
constexpr monotonic_time firstDelay = 200ms;
constexpr monotonic_time maxDelay = 1600ms;

} // namespace

caller::caller(asio::io_context &context, const endpoint &address, router route,
               random_source &random, record &log, caller_observer &observer)
    : m_address(address)
    , m_route(std::move(route))
    , m_random(random)
    , m_log(log)
    , m_observer(observer)
    , m_socket(
          context, address,
          [this](std::span<const std::byte> bytes, const endpoint &from) {
              onDatagram(bytes, from);
          },
          batchSize)
{
    m_socket.setBatchHandler([this] { m_socket.flush(); });
    m_socket.start();
}

flow_key caller::open(const endpoint &service, const flow_plan &plan)
{
    const flow_key key {{m_address.address, m_nextPort++}, service, transport::Tcp};
    flow_state &flow = m_flows[key];
    flow.plan = plan;
    flow.start = static_cast<std::uint32_t>(m_random.next());
    flow.next = flow.start + 1;
    flow.startedAt = m_log.now();
    return key;
}

void caller::tick()
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        auto &[key, flow] = *entry;
        const bool isActive = flow.isOpen ? tickOpen(key, flow) : tickOpening(key, flow);
        if (!isActive)
            m_observer.onFlowEnd(key, flow.isOpen);
        entry = isActive ? std::next(entry) : m_flows.erase(entry);
    }
    m_socket.flush();
}

bool caller::tickOpening(const flow_key &key, flow_state &flow)
{
    const auto age = m_log.now() - flow.startedAt;
    if (age >= openingTimeout)
        return false;
    if (flow.copies < openingTimes.size() && age >= openingTimes.at(flow.copies)) {
        platform::wire_packet packet;
        packet.isOpening = true;
        packet.sequence = flow.start;
        packet.acknowledged = flow.copies++;
        send(key, flow, packet);
    }
    return true;
}

bool caller::tickOpen(const flow_key &key, flow_state &flow)
{
    const auto now = m_log.now();
    const bool isLate = !flow.request.empty() && now - flow.requestAt >= flow.plan.deadline;
    if (isLate)
        m_observer.onRequestEnd(key, flow.request, false);
    if (isLate || (flow.request.empty() && flow.plan.requests == 0)) {
        platform::wire_packet packet;
        packet.isFin = true;
        packet.isAck = true;
        packet.sequence = flow.next;
        packet.acknowledged = flow.acknowledged;
        send(key, flow, packet);
        return false;
    }
    if (now < flow.sendAt || flow.isAcknowledged)
        return true;
    if (flow.request.empty()) {
        flow.request = "request-" + std::to_string(m_nextRequest++);
        flow.requestAt = now;
        flow.delay = firstDelay;
    } else {
        flow.delay = std::min(flow.delay * 2, maxDelay);
    }
    sendRequest(key, flow);
    return true;
}

void caller::sendRequest(const flow_key &key, flow_state &flow)
{
    flow.sendAt = m_log.now() + flow.delay;
    platform::wire_packet packet;
    packet.isAck = true;
    packet.sequence = flow.next;
    packet.acknowledged = flow.acknowledged;
    packet.data = flow.request;
    send(key, flow, packet);
}

void caller::send(const flow_key &key, const flow_state &flow, platform::wire_packet packet)
{
    packet.source = key.caller;
    packet.target = key.service;
    packet.tag = packet.isOpening ? 0 : flow.tag;
    if (const auto instance = m_route(key))
        m_socket.send(*instance, platform::encodePacket(packet));
}

void caller::onDatagram(std::span<const std::byte> bytes, const endpoint &from)
{
    const auto decoded = platform::decodeWirePacket(bytes);
    if (!decoded)
        return;
    const platform::wire_packet &packet = decoded.value();
    const flow_key key {packet.target, packet.source, transport::Tcp};
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    flow_state &flow = found->second;
    if (packet.isReset) {
        m_observer.onReset(key, from);
        m_observer.onFlowEnd(key, flow.isOpen);
        m_flows.erase(found);
        return;
    }
    // "The client and the backend each place in their own packets the last `echo` that they
    // received on a flow."
    flow.tag = packet.tag;
    if (packet.isOpening) {
        if (flow.isOpen)
            return;
        flow.isOpen = true;
        flow.acknowledged = packet.sequence + 1;
        flow.sendAt = m_log.now();
        tickOpen(key, flow);
        return;
    }
    if (!flow.isOpen || packet.sequence != flow.acknowledged)
        return;
    const auto end = flow.next + static_cast<std::uint32_t>(flow.request.size());
    flow.isAcknowledged = !flow.request.empty() && packet.acknowledged == end;
    if (packet.data.empty())
        return;
    flow.acknowledged += static_cast<std::uint32_t>(packet.data.size());
    flow.next = end;
    flow.isAcknowledged = false;
    m_observer.onRequestEnd(key, std::exchange(flow.request, {}), true);
    --flow.plan.requests;
    flow.sendAt = m_log.now() + flow.plan.pause;
    platform::wire_packet acknowledgement;
    acknowledgement.isAck = true;
    acknowledgement.sequence = flow.next;
    acknowledgement.acknowledged = flow.acknowledged;
    send(key, flow, acknowledgement);
}

} // namespace chicoryhead::review
