/**
 * @file upstream_standin.cpp
 * Packet handling of a simulated upstream. A request and its answer are one packet each.
 */

#include "upstream_standin.h"

#include "platform/packet_codec.h"

#include <utility>

namespace chicoryhead::standin {

namespace {

constexpr std::size_t batchSize = 8;

flow_key flowOf(const platform::wire_packet &packet)
{
    return {packet.source, packet.target, transport::Tcp};
}

std::uint64_t prefixOf(std::span<const std::byte> bytes)
{
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i < platform::prefixBytes; ++i)
        prefix = (prefix << 8U) | static_cast<std::uint64_t>(bytes[i]);
    return prefix;
}

} // namespace

upstream_standin::upstream_standin(asio::io_context &context, upstream_announcement announced,
                                   std::set<endpoint> services, std::uint16_t callerPort,
                                   random_source &random, deployment_observer &observer)
    : m_announced(std::move(announced))
    , m_services(std::move(services))
    , m_callerPort(callerPort)
    , m_random(random)
    , m_observer(observer)
    , m_socket(
          context, m_announced.address,
          [this](std::span<const std::byte> bytes, const endpoint & /*from*/) {
              onDatagram(bytes);
          },
          batchSize)
{
    m_socket.setBatchHandler([this] { m_socket.flush(); });
    m_socket.start();
}

void upstream_standin::onDatagram(std::span<const std::byte> bytes)
{
    if (m_isCut || bytes.size() < platform::prefixBytes)
        return;
    const std::uint64_t wanted = prefixOf(bytes);
    const auto packet = platform::decodeWirePacket(bytes.subspan(platform::prefixBytes));
    if (!packet || (wanted != 0 && wanted != m_announced.wireId))
        return;
    const flow_key flow = flowOf(packet.value());
    if (!m_services.contains(flow.service)) {
        m_observer.onForeignPacket(m_announced.name, flow);
        return;
    }
    if (packet.value().isOpening) {
        onOpening(packet.value());
        return;
    }
    const auto held = m_flows.find(flow);
    if (held == m_flows.end()) {
        platform::wire_packet reset;
        reset.isReset = true;
        reset.sequence = packet.value().acknowledged;
        reply(packet.value(), reset);
    } else if (packet.value().isFin) {
        m_flows.erase(held);
    } else if (!packet.value().data.empty()) {
        onData(packet.value(), held->second);
    }
}

void upstream_standin::onOpening(const platform::wire_packet &packet)
{
    const flow_key flow = flowOf(packet);
    m_observer.onOpeningPacket(m_announced.name, flow);
    if (m_flows.size() >= m_maxFlows && !m_flows.contains(flow))
        return;
    held_flow &held = m_flows[flow];
    if (held.start == 0 || held.callerStart != packet.sequence)
        held = {packet.sequence, static_cast<std::uint32_t>(m_random.next()) | 1U, 0, 0, {}};
    platform::wire_packet answer;
    answer.isOpening = true;
    answer.isAck = true;
    answer.sequence = held.start;
    answer.acknowledged = packet.sequence + 1;
    answer.data = m_announced.name;
    reply(packet, answer);
}

void upstream_standin::onData(const platform::wire_packet &packet, held_flow &flow)
{
    if (flow.answer.empty() || flow.answeredSequence != packet.sequence) {
        flow.sent += static_cast<std::uint32_t>(flow.answer.size());
        flow.answer = packet.data + ' ' + m_announced.name;
        flow.answeredSequence = packet.sequence;
    }
    platform::wire_packet answer;
    answer.isAck = true;
    answer.sequence = flow.start + 1 + flow.sent;
    answer.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    answer.data = flow.answer;
    reply(packet, answer);
}

void upstream_standin::reply(const platform::wire_packet &to, platform::wire_packet answer)
{
    answer.source = to.target;
    answer.target = to.source;
    answer.tag = to.tag;
    m_socket.send({to.source.address, m_callerPort}, platform::encodePacket(answer));
}

} // namespace chicoryhead::standin
