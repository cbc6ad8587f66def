/**
 * @file packet_processor.cpp
 * Decoding, holding and sending of caller packets.
 */

#include "packet_processor_base.h"

#include "platform/packet_codec.h"

#include <array>

namespace chicoryhead {

void packet_processor::receive(std::span<const std::byte> bytes)
{
    const auto now = m_dependencies.suspensionDetector.lastActivityAt();
    m_lastPacketAt = now;
    const auto packet = platform::decodePacket(bytes);
    if (!packet) {
        ++m_dependencies.metrics.packets[static_cast<std::size_t>(packet_reason::Malformed)];
        m_dependencies.log.logMalformed(bytes.size(), packet.error());
        return;
    }
    if (canDecide(packet.value()) || !m_arrivals.add(bytes, now))
        processPacket(packet.value(), bytes);
}

std::size_t packet_processor::releaseHeldPackets()
{
    const auto isDecidable = [this](std::span<const std::byte> bytes) {
        const auto packet = platform::decodePacket(bytes);
        return packet && canDecide(packet.value());
    };
    const auto released =
        m_arrivals.takeIf(m_dependencies.suspensionDetector.lastActivityAt(), isDecidable);
    for (const auto &bytes : released) {
        if (const auto packet = platform::decodePacket(bytes))
            processPacket(packet.value(), bytes);
    }
    return released.size();
}

bool packet_processor::canDecide(const caller_packet &packet) const
{
    return m_dependencies.state.isSynchronised()
        || m_dependencies.packetForwarder.isSteerable(packet);
}

void packet_processor::processPacket(const caller_packet &packet, std::span<const std::byte> bytes)
{
    const auto now = m_dependencies.suspensionDetector.lastActivityAt();
    const auto decision = decide(packet, now);
    ++m_dependencies.metrics.packets[static_cast<std::size_t>(decision.reason)];
    if (decision.latency.count() > 0)
        m_dependencies.metrics.answerLatency.record(decision.latency);
    execute(packet, bytes, decision);
    if (decision.isHedgeable)
        m_dependencies.packetForwarder.scheduleHedge(packet, decision.upstream->id, bytes, now);
    // A copy of a packet that another instance received may be at another upstream than the first.
    const bool isCopy = packet.acknowledged > 0 && decision.reason == packet_reason::Placed;
    if (isCopy || decision.reason == packet_reason::PlacedAgain)
        m_dependencies.packetForwarder.keepOpening(packet.flow, packet.sequence, bytes, now);
    m_dependencies.log.logDecision(packet, bytes, decision, now);
    sendCorrections();
}

void packet_processor::sendCorrections()
{
    for (const tag_correction &correction : m_dependencies.packetForwarder.takeCorrections()) {
        ++m_dependencies.metrics.packets[static_cast<std::size_t>(packet_reason::TagCorrected)];
        forward(correction.bytes, correction.decision);
        m_dependencies.log.logCorrection(correction);
    }
}

void packet_processor::sendDueHedges(bool isSocketRead)
{
    static_assert(openingPacketBytes == platform::packetHeaderBytes);
    const suspension_detector &detector = m_dependencies.suspensionDetector;
    const auto now = detector.lastActivityAt();
    const bool isReliable =
        isSocketRead && detector.isTimingReliable(now) && !detector.isReadingBacklog(now);
    while (const auto hedge = m_dependencies.packetForwarder.takeHedge(isReliable, now)) {
        ++m_dependencies.metrics.packets[static_cast<std::size_t>(packet_reason::Hedged)];
        forward(hedge->opening.bytes, hedge->decision);
        m_dependencies.packetForwarder.keepOpening(
            hedge->opening.flow, hedge->opening.openingSequence, hedge->opening.bytes, now);
        m_dependencies.log.logHedge(*hedge);
    }
}

packet_decision packet_processor::decide(const caller_packet &packet, monotonic_time now)
{
    packet_decision decision;
    if (!canDecide(packet))
        decision.reason = packet_reason::NotSynchronised;
    else if (packet.isOpening && m_dependencies.suspensionDetector.isReadingBacklog(now))
        decision.reason = packet_reason::StaleOpening;
    else
        decision = m_dependencies.packetForwarder.decide(packet, isStateFresh(now), now);
    return decision;
}

void packet_processor::execute(const caller_packet &packet, std::span<const std::byte> bytes,
                               const packet_decision &decision)
{
    switch (decision.action) {
    case packet_action::Forward:
        forward(bytes, decision);
        break;
    case packet_action::Reset:
        sendReset(packet);
        ++(packet.isOpening ? m_dependencies.metrics.resetsSent
                            : m_dependencies.metrics.flowsEnded);
        if (decision.reason == packet_reason::UpstreamStalled)
            ++m_dependencies.metrics.stalledFlowsEnded;
        break;
    case packet_action::Drop:
        break;
    }
}

void packet_processor::forward(std::span<const std::byte> bytes, const packet_decision &decision)
{
    std::array<std::byte,
               platform::prefixBytes + platform::packetHeaderBytes + platform::maxDataBytes>
        buffer;
    const auto &announced = decision.upstream->announced;
    const std::size_t size =
        platform::encodeForUpstream(bytes, announced.wireId, decision.tag, buffer);
    m_send(announced.address, std::span(buffer).first(size));
}

void packet_processor::sendReset(const caller_packet &packet)
{
    const auto reset = platform::encodeReset(packet);
    m_send({packet.flow.caller.address, m_callerPort}, reset);
}

std::size_t packet_processor::resetFlowsOf(upstream_id upstream)
{
    const auto ended = m_dependencies.packetForwarder.extractFlowsOf(upstream);
    for (const caller_packet &packet : ended)
        sendReset(packet);
    m_dependencies.metrics.flowsEnded += ended.size();
    return ended.size();
}

void packet_processor::resetStalledFlows()
{
    const auto now = m_dependencies.suspensionDetector.lastActivityAt();
    for (const auto &[packet, decision] : m_dependencies.packetForwarder.extractStalledFlows(now)) {
        execute(packet, {}, decision);
        m_dependencies.log.logDecision(packet, {}, decision, now);
    }
}

bool packet_processor::isStateFresh(monotonic_time now) const
{
    return now - m_dependencies.state.confirmedAt() < m_stalenessBound;
}

} // namespace chicoryhead
