/**
 * @file messenger_base.h
 * Sends peer messages and relays within the byte budget of control traffic.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "budget_base.h"
#include "core/core_base.h"
#include "peer_func.h"
#include "peer_type.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** Limits of control traffic. */
struct messenger_settings
{
    std::int64_t bytesPerSecond = 2048; ///< mean of deferrable and urgent messages together
    std::int64_t burstBytes = 16384;    ///< saved up while idle; a joiner's pages need some
    monotonic_time handoverRepeat = std::chrono::seconds(1); ///< wait for an acknowledgement
    std::size_t maxQueuedRecords = 65536;                    ///< records waiting, over all homes
};

/**
 * Queues of one instance towards its peers.
 *
 * Urgent messages (membership, notices) leave at once. Payloads and records wait for room in the
 * budget, payloads first: a configuration version has a deadline, a record has a second copy.
 */
class messenger : public handover_sink
{
public:
    messenger(blackboard &board, const clock_source &clock, peer_sink &sink,
              const peer_codec &codec, const messenger_settings &settings);

    /** Sends an urgent message to a member; unknown members are ignored. */
    void send(instance_id target, peer_message message);

    /** Sends an urgent message to an address whose instance isn't known yet. */
    void sendTo(const endpoint &address, peer_message message);

    /** Queues a payload; sent within the budget. */
    void queuePayload(instance_id target, peer_payload payload);

    void sendHandover(instance_id home, const flow_record &record) override;

    /** Acknowledges a handover batch with the next message to its sender. */
    void acknowledgeHandover(instance_id sender, std::uint32_t sequence);

    /** Drops the batch that a home has acknowledged. */
    void onHandoverAcks(instance_id home, const std::vector<std::uint32_t> &sequences);

    /** Relays a packet; data traffic, outside the control budget. */
    void relay(instance_id target, const relay_header &header, std::span<const std::byte> packet);

    /** Sends what is due; called every 10 ms to 100 ms. */
    void tick();

    /** Records that wait or are unacknowledged. */
    std::size_t queuedRecords() const { return m_queuedRecords; }

private:
    struct peer_queue
    {
        std::deque<peer_payload> payloads;
        std::deque<flow_record> records;
        handover_batch inFlight;   ///< sequence 0 when none is unacknowledged
        monotonic_time sentAt {0}; ///< when inFlight was last sent
        std::vector<std::uint32_t> acks;
    };

    void flushAcks(instance_id target, peer_queue &queue);
    bool sendPayload(instance_id target, peer_queue &queue);
    bool sendRecords(instance_id target, peer_queue &queue);
    void dropUnreachable();
    const member *findMember(instance_id id) const;

    blackboard &m_board;
    const clock_source &m_clock;
    peer_sink &m_sink;
    const peer_codec &m_codec;
    messenger_settings m_settings;
    byte_budget m_budget;
    std::map<instance_id, peer_queue> m_queues;
    std::size_t m_queuedRecords = 0; ///< sum over all queues, in-flight batches included
    std::uint32_t m_nextSequence = 1;
};

} // namespace chicoryhead
