/**
 * @file upstream.cpp
 * Packets and timers of a simulated upstream. A request and its answer are one packet each.
 */

#include "upstream.h"

#include "platform/packet_codec.h"

#include <algorithm>
#include <utility>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t batchSize = 16;
/// PROTOCOL.md: missing packets are sent again after 200 ms, the interval doubles up to 1.6 s, and
/// an upstream gives up after 8 repetitions.
constexpr monotonic_time firstDelay = 200ms;
constexpr monotonic_time maxDelay = 1600ms;
constexpr unsigned maxRepetitions = 8;
/// Work for a swatch-select request.
constexpr monotonic_time workTime = 52ms;

} // namespace

upstream::upstream(asio::io_context &context, upstream_announcement announced,
                   std::uint16_t callerPort, random_source &random, record &log,
                   upstream_observer &observer)
    : m_announced(std::move(announced))
    , m_callerPort(callerPort)
    , m_random(random)
    , m_log(log)
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

void upstream::onDatagram(std::span<const std::byte> bytes)
{
    if (bytes.size() < platform::prefixBytes)
        return;
    std::uint64_t wanted = 0;
    for (std::size_t i = 0; i < platform::prefixBytes; ++i)
        wanted = (wanted << 8U) | static_cast<std::uint64_t>(bytes[i]);
    const auto decoded = platform::decodeWirePacket(bytes.subspan(platform::prefixBytes));
    if (!decoded || (wanted != 0 && wanted != m_announced.wireId))
        return;
    const platform::wire_packet &packet = decoded.value();
    const flow_key flow {packet.source, packet.target, transport::Tcp};
    m_observer.onPacket(m_announced.name, packet);
    if (packet.isOpening) {
        onOpening(flow, packet);
        return;
    }
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        platform::wire_packet reset;
        reset.isReset = true;
        reset.sequence = packet.acknowledged;
        reset.tag = packet.tag;
        send(flow, reset);
        return;
    }
    flow_state &state = found->second;
    if (!state.isOpen) {
        // The flow is open at another upstream: the page says nothing, so the packet is ignored.
        if (packet.acknowledged != state.start + 1)
            return;
        state.isOpen = true;
        state.next = state.start + 1;
        m_observer.onFlowOpen(m_announced.name, flow);
    }
    state.tag = packet.tag;
    const bool isAnswerReceived = !state.answer.empty()
        && packet.acknowledged == state.next + static_cast<std::uint32_t>(state.answer.size());
    if (isAnswerReceived) {
        state.next = packet.acknowledged;
        state.answer.clear();
    }
    if (packet.isFin)
        m_flows.erase(found);
    else if (!packet.data.empty())
        onData(flow, state, packet);
}

void upstream::onOpening(const flow_key &flow, const platform::wire_packet &packet)
{
    const bool isNew = !m_flows.contains(flow);
    flow_state &state = m_flows[flow];
    if (isNew) {
        state.start = static_cast<std::uint32_t>(m_random.next());
        state.callerNext = packet.sequence + 1;
        scheduleRepetition(state, true);
    }
    if (state.isOpen)
        return;
    state.tag = packet.tag;
    if (isNew && packet.acknowledged == 0 && m_observer.isFirstAnswerLost(flow)) {
        m_log.write("lost: opening answer of " + m_announced.name + " to " + toString(flow.caller));
        return;
    }
    sendOpeningAnswer(flow, state);
}

void upstream::onData(const flow_key &flow, flow_state &state, const platform::wire_packet &packet)
{
    if (packet.sequence == state.callerNext) {
        state.callerNext += static_cast<std::uint32_t>(packet.data.size());
        state.waiting = packet.data;
        state.doneAt = m_log.now() + workTime;
        m_observer.onRun(m_announced.name, packet.data);
    }
    platform::wire_packet acknowledgement;
    acknowledgement.isAck = true;
    acknowledgement.sequence = state.next;
    acknowledgement.acknowledged = state.callerNext;
    acknowledgement.tag = state.tag;
    send(flow, acknowledgement);
}

void upstream::tick()
{
    const auto now = m_log.now();
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        auto &[flow, state] = *entry;
        if (!state.waiting.empty() && now >= state.doneAt) {
            state.answer =
                "answer to " + std::exchange(state.waiting, {}) + " of " + m_announced.name;
            scheduleRepetition(state, true);
            sendAnswer(flow, state);
        }
        const bool isMissing = !state.isOpen || !state.answer.empty();
        if (!isMissing || now < state.repeatAt) {
            ++entry;
            continue;
        }
        if (state.repetitions > maxRepetitions) {
            entry = m_flows.erase(entry);
            continue;
        }
        if (state.isOpen)
            sendAnswer(flow, state);
        else
            sendOpeningAnswer(flow, state);
        scheduleRepetition(state, false);
        ++entry;
    }
    m_socket.flush();
}

void upstream::scheduleRepetition(flow_state &state, bool isFirst)
{
    state.repetitions = isFirst ? 1 : state.repetitions + 1;
    state.delay = isFirst ? firstDelay : std::min(state.delay * 2, maxDelay);
    state.repeatAt = m_log.now() + state.delay;
}

void upstream::sendOpeningAnswer(const flow_key &flow, const flow_state &state)
{
    platform::wire_packet answer;
    answer.isOpening = true;
    answer.isAck = true;
    answer.sequence = state.start;
    answer.acknowledged = state.callerNext;
    answer.tag = state.tag;
    send(flow, answer);
}

void upstream::sendAnswer(const flow_key &flow, const flow_state &state)
{
    platform::wire_packet answer;
    answer.isAck = true;
    answer.sequence = state.next;
    answer.acknowledged = state.callerNext;
    answer.tag = state.tag;
    answer.data = state.answer;
    send(flow, answer);
}

void upstream::send(const flow_key &flow, platform::wire_packet packet)
{
    packet.source = flow.service;
    packet.target = flow.caller;
    m_socket.send({flow.caller.address, m_callerPort}, platform::encodePacket(packet));
}

} // namespace chicoryhead::review
