/**
 * @file packet_processor.cpp
 * Decoding, holding and sending of packets.
 */

#include "packet_processor_base.h"

#include "platform/packet_codec.h"

#include <array>

namespace chicoryhead {

void packet_path::receive(std::span<const std::byte> bytes)
{
    const auto now = m_parts.suspensionDetector.lastActivityAt();
    m_packetAt = now;
    const auto packet = platform::decodePacket(bytes);
    if (!packet) {
        ++m_parts.metrics.packets[static_cast<std::size_t>(packet_reason::Malformed)];
        m_parts.log.noteMalformed(bytes.size(), packet.error());
        return;
    }
    if (canDecide(packet.value()) || !m_arrivals.add(bytes, now))
        forward(packet.value(), bytes);
}

std::size_t packet_path::releaseHeldPackets()
{
    const auto isDecidable = [this](std::span<const std::byte> bytes) {
        const auto packet = platform::decodePacket(bytes);
        return packet && canDecide(packet.value());
    };
    const auto released =
        m_arrivals.takeIf(m_parts.suspensionDetector.lastActivityAt(), isDecidable);
    for (const auto &bytes : released) {
        if (const auto packet = platform::decodePacket(bytes))
            forward(packet.value(), bytes);
    }
    return released.size();
}

bool packet_path::canDecide(const caller_packet &packet) const
{
    return m_parts.state.isSynchronised() || m_parts.decisions.isSteerable(packet);
}

void packet_path::forward(const caller_packet &packet, std::span<const std::byte> bytes)
{
    const auto now = m_parts.suspensionDetector.lastActivityAt();
    const auto decision = decide(packet, now);
    ++m_parts.metrics.packets[static_cast<std::size_t>(decision.reason)];
    if (decision.latency.count() > 0)
        m_parts.metrics.answer.record(decision.latency);
    carryOut(packet, bytes, decision);
    m_parts.log.noteDecision(packet, bytes, decision, now);
}

packet_decision packet_path::decide(const caller_packet &packet, monotonic_time now)
{
    packet_decision decision;
    if (!canDecide(packet))
        decision.reason = packet_reason::NotSynchronised;
    else if (packet.isOpening && m_parts.suspensionDetector.isReadingBacklog(now))
        decision.reason = packet_reason::StaleOpening;
    else
        decision = m_parts.decisions.decide(packet, isStateFresh(now), now);
    return decision;
}

void packet_path::carryOut(const caller_packet &packet, std::span<const std::byte> bytes,
                           const packet_decision &decision)
{
    switch (decision.action) {
    case packet_action::Forward: {
        std::array<std::byte, platform::prefixBytes + platform::headBytes + platform::maxDataBytes>
            buffer;
        const auto &announced = decision.upstream->announced;
        const std::size_t size =
            platform::encodeForUpstream(bytes, announced.wireId, decision.tag, buffer);
        m_send(announced.address, std::span(buffer).first(size));
        break;
    }
    case packet_action::Reset:
        sendReset(packet);
        ++(packet.isOpening ? m_parts.metrics.resetsSent : m_parts.metrics.flowsEnded);
        break;
    case packet_action::Drop:
        break;
    }
}

void packet_path::sendReset(const caller_packet &packet)
{
    const auto reset = platform::encodeReset(packet);
    m_send({packet.flow.caller.address, m_callerPort}, reset);
}

std::size_t packet_path::endFlowsOf(upstream_id upstream)
{
    const auto ended = m_parts.decisions.extractFlowsOf(upstream);
    for (const caller_packet &packet : ended)
        sendReset(packet);
    m_parts.metrics.flowsEnded += ended.size();
    return ended.size();
}

bool packet_path::isStateFresh(monotonic_time now) const
{
    return now - m_parts.state.confirmedAt() < m_freshness;
}

} // namespace chicoryhead
