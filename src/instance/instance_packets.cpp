/**
 * @file instance_packets.cpp
 * Path of a packet through an instance.
 */

#include "core/codec_func.h"
#include "instance_base.h"
#include "packet/packet_func.h"

#include <array>
#include <cassert>

namespace chicoryhead {

namespace {

constexpr std::uint8_t payloadFormat = 1;
/// A woken process waits this long for its peers' news before it trusts its old view again.
constexpr monotonic_time pauseGrace = std::chrono::seconds(1);

constexpr std::array<std::string_view, 8> dropReasonNames {
    "malformed",      "no_service", "not_ready", "unplaced",
    "wrong_upstream", "expired",    "duplicate", "no_upstream"};

std::span<const std::byte> bytesOf(const peer_payload &payload)
{
    return std::as_bytes(std::span(payload.bytes));
}

} // namespace

std::string_view toString(drop_reason reason)
{
    return dropReasonNames[static_cast<std::size_t>(reason)];
}

void instance::drop(drop_reason reason)
{
    ++m_dropped[static_cast<std::size_t>(reason)];
    ++m_board.counters.packetsDropped;
}

void instance::onFabricPacket(std::span<const std::byte> bytes, const endpoint &outerSource)
{
    const monotonic_time now = m_environment.clock.now();
    m_lastPacketAt = now;
    const bool isJustWoken = m_pausedAt.count() != 0 && now - m_pausedAt < pauseGrace;
    if (m_board.config->version == 0 || isJustWoken)
        return drop(drop_reason::NotReady);
    const auto packet = parsePacket(bytes);
    if (!packet) {
        ++m_board.counters.packetsMalformed;
        return drop(drop_reason::Malformed);
    }
    const packet_view &view = packet.value();
    if (const auto *service = m_board.config->findService({view.destination, view.protocol}))
        return onCallerPacket(view, *service);
    if (const auto *service = m_board.config->findService({view.source, view.protocol}))
        return onReply(view, *service, outerSource);
    drop(drop_reason::NoService);
}

std::optional<instance::classified_packet>
instance::classify(const packet_view &packet, const service_config &service, bool isReply)
{
    classified_packet classified;
    steering_input &input = classified.input;
    input.packet = packet;
    input.key = isReply ? replyKey(packet) : forwardKey(packet);
    input.hash = hashFlow(input.key);
    input.service = &service;
    if (service.protocol != service_protocol::Request || isReply)
        return classified;
    auto frame = decodeFrame(packet.payload);
    if (!frame) {
        ++m_board.counters.packetsMalformed;
        drop(drop_reason::Malformed);
        return std::nullopt;
    }
    classified.frame = std::move(frame).value();
    const request_frame &request = *classified.frame;
    if (request.kind == frame_kind::Open)
        input.packet.kind = packet_kind::Open;
    if (request.kind == frame_kind::Close)
        input.packet.kind = packet_kind::Close;
    const bool isDecidedAtHome =
        request.kind == frame_kind::Request || request.kind == frame_kind::Cancel;
    input.needsHome = isDecidedAtHome && !request.idempotent;
    return classified;
}

void instance::onCallerPacket(const packet_view &packet, const service_config &service)
{
    const auto classified = classify(packet, service, false);
    if (classified)
        carryOut(*classified, m_steering->steer(classified->input), false);
}

void instance::carryOut(const classified_packet &packet, const steering_decision &decision,
                        bool isAdmitted)
{
    switch (decision.verdict) {
    case steering_verdict::Forward:
        return forward(packet, decision.upstream, isAdmitted);
    case steering_verdict::Relay:
        return relay(packet, decision, isAdmitted);
    case steering_verdict::Drop:
        return drop(drop_reason::Unplaced);
    case steering_verdict::Refuse:
        return refuse(packet);
    }
}

void instance::relay(const classified_packet &packet, const steering_decision &decision,
                     bool isAdmitted)
{
    relay_header header = decision.relay;
    header.isAdmitted = isAdmitted;
    const bool isDecidedHere = packet.input.needsHome && !isAdmitted
        && m_homes.flowHomes(packet.input.hash).first == m_board.self.id;
    if (isDecidedHere) {
        if (!passesLedger(packet))
            return;
        header.isAdmitted = true;
    }
    m_messenger.relay(decision.relayTo, header, packet.input.packet.bytes);
}

void instance::forward(const classified_packet &packet, upstream_id upstream, bool isAdmitted)
{
    const upstream_config *target = packet.input.service->findUpstream(upstream);
    if (!target)
        return drop(drop_reason::NoUpstream);
    if (packet.frame && !isAdmitted && !passesLedger(packet))
        return;
    ++m_board.counters.packetsForwarded;
    m_environment.packets.sendToUpstream(target->address, packet.input.packet.bytes);
}

bool instance::passesLedger(const classified_packet &packet)
{
    const request_frame &frame = *packet.frame;
    if (frame.kind == frame_kind::Request && frame.idempotent && frame.remainingMs == 0) {
        answer(packet, request_outcome::Refused);
        return false;
    }
    if (!packet.input.needsHome)
        return true;
    const ledger_verdict verdict = frame.kind == frame_kind::Cancel
        ? m_ledger.onCancel(packet.input.hash, frame)
        : m_ledger.onRequest(packet.input.hash, frame);
    if (verdict.isPassed) {
        ++m_board.counters.requestsPassed;
        return true;
    }
    if (verdict.outcome == request_outcome::None) {
        ++m_board.counters.requestCopiesDropped;
        drop(drop_reason::Duplicate);
        return false;
    }
    answer(packet, verdict.outcome);
    return false;
}

void instance::refuse(const classified_packet &packet)
{
    ++m_board.counters.flowsRefused;
    if (packet.frame) {
        auto outcome = request_outcome::Refused;
        if (packet.input.needsHome)
            outcome = m_ledger.refuse(packet.input.hash, *packet.frame).outcome;
        return answer(packet, outcome);
    }
    if (packet.input.packet.protocol == transport::Tcp)
        m_environment.packets.sendToCaller(buildResetFor(packet.input.packet));
}

void instance::answer(const classified_packet &packet, request_outcome outcome)
{
    assert(packet.frame);
    auto &counters = m_board.counters;
    ++(outcome == request_outcome::Unknown ? counters.requestsUnknown : counters.requestsRefused);
    request_frame reply;
    reply.kind = frame_kind::Outcome;
    reply.requestId = packet.frame->requestId;
    reply.attempt = packet.frame->attempt;
    reply.idempotent = packet.frame->idempotent;
    reply.outcome = outcome;
    reply.retryAfterMs = m_limiter.retryAfterMs(*packet.input.service);
    const packet_view &request = packet.input.packet;
    m_environment.packets.sendToCaller(
        buildUdpPacket(request.destination, request.source, encodeFrame(reply)));
}

void instance::onReply(const packet_view &packet, const service_config &service,
                       const endpoint &outerSource)
{
    const auto &upstreams = service.upstreams;
    const auto sender = std::find_if(upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
        return upstream.address == outerSource;
    });
    if (sender == upstreams.end()) {
        ++m_board.counters.repliesMismatched;
        return drop(drop_reason::WrongUpstream);
    }
    const auto classified = classify(packet, service, true);
    const steering_decision decision = m_steering->steerReply(classified->input, sender->id);
    if (decision.verdict != steering_verdict::Drop)
        notePassiveSignal(packet, service, sender->id);
    carryOutReply(packet, decision);
}

void instance::carryOutReply(const packet_view &packet, const steering_decision &decision)
{
    if (decision.verdict == steering_verdict::Relay)
        return m_messenger.relay(decision.relayTo, decision.relay, packet.bytes);
    if (decision.verdict != steering_verdict::Forward)
        return drop(drop_reason::WrongUpstream);
    ++m_board.counters.repliesForwarded;
    m_environment.packets.sendToCaller(packet.bytes);
}

void instance::notePassiveSignal(const packet_view &packet, const service_config &service,
                                 upstream_id upstream)
{
    if (packet.kind == packet_kind::OpenReply)
        return m_health.onSignal(upstream, passive_signal::Accepted);
    // A RST in answer to a SYN has sequence number 0 (RFC 9293, 3.10.7.1).
    if (packet.kind == packet_kind::Reset && packet.sequence == 0)
        return m_health.onSignal(upstream, passive_signal::Refused);
    if (service.protocol == service_protocol::Request)
        m_health.onSignal(upstream, passive_signal::Answered);
}

void instance::onRelay(std::span<const std::byte> datagram)
{
    const auto relay = m_codec.decodeRelay(datagram);
    if (!relay) {
        ++m_board.counters.peerMessagesRejected;
        return;
    }
    const relay_header &header = relay.value().header;
    const auto packet = parsePacket(relay.value().packet);
    if (!packet || m_board.config->version == 0)
        return drop(packet ? drop_reason::NotReady : drop_reason::Malformed);
    const packet_view &view = packet.value();
    const bool isReply = header.direction == relay_direction::ToCaller;
    const auto *service =
        m_board.config->findService({isReply ? view.source : view.destination, view.protocol});
    if (!service)
        return drop(drop_reason::NoService);
    const auto classified = classify(view, *service, isReply);
    if (!classified)
        return;
    if (isReply)
        return carryOutReply(view, m_steering->steerRelayedReply(classified->input, header));
    carryOut(*classified, m_steering->steerRelayed(classified->input, header), header.isAdmitted);
}

void instance::onPeerDatagram(std::span<const std::byte> datagram, const endpoint &from)
{
    const auto kind = peerDatagramKind(datagram);
    if (kind && kind.value() == peer_datagram_kind::Relay)
        return onRelay(datagram);
    const auto message = m_codec.decode(datagram);
    if (!message) {
        ++m_board.counters.peerMessagesRejected;
        return;
    }
    onMessage(message.value(), from);
}

void instance::onMessage(const peer_message &message, const endpoint &from)
{
    const instance_id sender = message.sender.id;
    m_membership.onMessage(message, from);
    watchMembers();
    m_distribution.onPeerVersion(sender, message.version);
    for (const auto &notice : message.notices)
        onNotice(notice);
    if (message.handover.sequence != 0) {
        for (const auto &record : message.handover.records)
            m_steering->onHandover(record);
        m_messenger.acknowledgeHandover(sender, message.handover.sequence);
    }
    m_messenger.onHandoverAcks(sender, message.handoverAcks);
    for (const auto &payload : message.payloads)
        onPayload(sender, payload);
}

void instance::onNotice(const upstream_notice &notice)
{
    const auto known = m_board.upstreams.find(notice.upstream);
    // Only news is passed on, else old notices would circulate for ever.
    if (known != m_board.upstreams.end() && known->second.incarnation >= notice.incarnation)
        return;
    m_health.onNotice(notice);
    m_membership.gossip(notice);
    m_steering->onChange();
}

void instance::onPayload(instance_id sender, const peer_payload &payload)
{
    bool isValid = false;
    if (payload.kind == payload_kind::ConfigPull) {
        const auto pull = decodeBinary<config_pull>(payloadFormat, bytesOf(payload));
        isValid = pull.has_value();
        if (isValid)
            m_distribution.onPull(sender, pull.value());
    } else if (payload.kind == payload_kind::ConfigPage) {
        const auto page = decodeBinary<config_page>(payloadFormat, bytesOf(payload));
        isValid = page.has_value();
        if (isValid)
            m_distribution.onPage(sender, page.value());
    } else if (payload.kind == payload_kind::LedgerEntries) {
        const auto entries = decodeLedgerEntries(bytesOf(payload));
        isValid = entries.has_value();
        if (isValid) {
            for (const auto &entry : entries.value())
                m_ledger.onHandover(entry);
        }
    }
    if (!isValid)
        ++m_board.counters.peerMessagesRejected;
}

} // namespace chicoryhead
