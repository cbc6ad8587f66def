/**
 * @file messenger.cpp
 * Queues towards peers.
 */

#include "messenger_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

constexpr std::size_t recordsPerBatch = 80;   ///< 12 bytes each; one datagram
constexpr std::size_t maxQueuedPayloads = 64; ///< per peer; a joiner pulls pages one by one

} // namespace

messenger::messenger(blackboard &board, const clock_source &clock, peer_sink &sink,
                     const peer_codec &codec, const messenger_settings &settings)
    : m_board(board)
    , m_clock(clock)
    , m_sink(sink)
    , m_codec(codec)
    , m_settings(settings)
    , m_budget(settings.bytesPerSecond, settings.burstBytes)
{
}

const member *messenger::findMember(instance_id id) const
{
    const auto found = m_board.members.find(id);
    return found == m_board.members.end() ? nullptr : &found->second;
}

void messenger::send(instance_id target, peer_message message)
{
    if (const member *peer = findMember(target))
        sendTo(peer->address, std::move(message));
}

void messenger::sendTo(const endpoint &address, peer_message message)
{
    const member &self = m_board.self;
    message.sender = {self.id, self.address, self.domain, self.incarnation, self.state};
    message.version = m_board.config->version;
    const auto datagram = m_codec.encode(message);
    const std::size_t bytes = datagram.size() + datagramOverheadBytes;
    m_budget.spend(bytes);
    m_board.counters.peerBytesSent += bytes;
    ++m_board.counters.peerMessagesSent;
    m_sink.sendToPeer(address, datagram);
}

void messenger::queuePayload(instance_id target, peer_payload payload)
{
    auto &payloads = m_queues[target].payloads;
    if (payloads.size() < maxQueuedPayloads)
        payloads.push_back(std::move(payload));
}

void messenger::sendHandover(instance_id home, const flow_record &record)
{
    // The other home still has the record, so a full queue loses redundancy, not the flow.
    if (m_queuedRecords >= m_settings.maxQueuedRecords)
        return;
    m_queues[home].records.push_back(record);
    ++m_queuedRecords;
}

void messenger::acknowledgeHandover(instance_id sender, std::uint32_t sequence)
{
    m_queues[sender].acks.push_back(sequence);
}

void messenger::onHandoverAcks(instance_id home, const std::vector<std::uint32_t> &sequences)
{
    const auto found = m_queues.find(home);
    if (found == m_queues.end())
        return;
    handover_batch &batch = found->second.inFlight;
    if (batch.sequence == 0)
        return;
    if (std::find(sequences.begin(), sequences.end(), batch.sequence) == sequences.end())
        return;
    m_queuedRecords -= batch.records.size();
    batch = {};
}

void messenger::relay(instance_id target, const relay_header &header,
                      std::span<const std::byte> packet)
{
    const member *peer = findMember(target);
    if (!peer)
        return;
    const auto datagram = m_codec.encodeRelay(m_board.self.id, header, packet);
    m_board.counters.relayBytesSent += datagram.size() + datagramOverheadBytes;
    ++m_board.counters.packetsRelayed;
    m_sink.sendToPeer(peer->address, datagram);
}

void messenger::flushAcks(instance_id target, peer_queue &queue)
{
    if (queue.acks.empty())
        return;
    peer_message message;
    message.handoverAcks = std::move(queue.acks);
    queue.acks.clear();
    send(target, std::move(message));
}

bool messenger::sendPayload(instance_id target, peer_queue &queue)
{
    if (queue.payloads.empty())
        return false;
    peer_message message;
    message.payloads.push_back(std::move(queue.payloads.front()));
    queue.payloads.pop_front();
    send(target, std::move(message));
    return true;
}

bool messenger::sendRecords(instance_id target, peer_queue &queue)
{
    const bool isRepeat = queue.inFlight.sequence != 0;
    if (isRepeat && m_clock.now() - queue.sentAt < m_settings.handoverRepeat)
        return false;
    if (!isRepeat) {
        if (queue.records.empty())
            return false;
        const auto count = std::min(recordsPerBatch, queue.records.size());
        const auto end = queue.records.begin() + static_cast<std::ptrdiff_t>(count);
        queue.inFlight.sequence = m_nextSequence++;
        queue.inFlight.records.assign(queue.records.begin(), end);
        queue.records.erase(queue.records.begin(), end);
    }
    queue.sentAt = m_clock.now();
    peer_message message;
    message.handover = queue.inFlight;
    send(target, std::move(message));
    return true;
}

void messenger::dropUnreachable()
{
    std::erase_if(m_queues, [this](const auto &entry) {
        const auto &[id, queue] = entry;
        const member *peer = findMember(id);
        if (peer && peer->state != member_state::Dead)
            return false;
        m_queuedRecords -= queue.records.size() + queue.inFlight.records.size();
        return true;
    });
}

void messenger::tick()
{
    m_budget.refill(m_clock.now());
    dropUnreachable();
    for (auto &[target, queue] : m_queues)
        flushAcks(target, queue);
    for (auto &[target, queue] : m_queues) {
        while (m_budget.hasRoom() && sendPayload(target, queue)) { }
    }
    for (auto &[target, queue] : m_queues) {
        if (!m_budget.hasRoom())
            return;
        sendRecords(target, queue);
    }
}

} // namespace chicoryhead
