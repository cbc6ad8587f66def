/**
 * @file packet_processor_base.h
 * Processing of caller packets, from the received datagram to what is sent.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_base.h"
#include "entry_metrics_base.h"
#include "forward/forwarder_base.h"
#include "forward/pending_packet_queue_base.h"
#include "packet_log_base.h"
#include "suspension_detector_base.h"
#include "sync/fleet_state_base.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace chicoryhead {

/**
 * Decodes caller packets, holds those that can't be decided before the state is synchronised, and
 * executes the decisions of the forwarder.
 */
class packet_processor
{
public:
    /** Sends a datagram to an address. */
    using sender = std::function<void(const endpoint &target, std::span<const std::byte> datagram)>;

    /** Objects that the processor uses; all must outlive it. */
    struct dependencies
    {
        forwarder &packetForwarder;
        const fleet_state &state;
        const suspension_detector &suspensionDetector;
        entry_metrics &metrics;
        packet_log &log;
    };

    /**
     * @param callerPort port on which callers receive packets.
     * @param stalenessBound see setStalenessBound().
     */
    packet_processor(const dependencies &dependencies, std::uint16_t callerPort,
                     monotonic_time stalenessBound, sender send)
        : m_dependencies(dependencies)
        , m_callerPort(callerPort)
        , m_stalenessBound(stalenessBound)
        , m_send(std::move(send))
    {
    }

    /** Handles one datagram. The activity must have been recorded at the suspension detector. */
    void receive(std::span<const std::byte> bytes);

    /**
     * Sends the opening packets that are due for a second upstream.
     * @param isSocketRead all packets received so far were handled. If not, some of these flows may
     * have opened, and their opening packets are not sent.
     */
    void sendDueHedges(bool isSocketRead);

    /** Whether packets are held until the configuration is known. */
    bool hasHeldPackets() const { return !m_arrivals.isEmpty(); }

    /** Processes the held packets that can be decided now; returns their number. */
    std::size_t releaseHeldPackets();

    /** Resets flows whose requests are stalled; see forwarder::extractStalledFlows(). */
    void resetStalledFlows();

    /** Resets the open flows to an upstream that were observed here; returns their number. */
    std::size_t resetFlowsOf(upstream_id upstream);

    /**
     * Sets the age of the state below which a flow without route or upstream is refused with a
     * reset. With an older state its packets are dropped, as the missing entry may exist by now.
     */
    void setStalenessBound(monotonic_time stalenessBound) { m_stalenessBound = stalenessBound; }

    /** When the last packet was received; 0 for never. */
    monotonic_time lastPacketAt() const { return m_lastPacketAt; }

private:
    bool canDecide(const caller_packet &packet) const;
    void processPacket(const caller_packet &packet, std::span<const std::byte> bytes);
    packet_decision decide(const caller_packet &packet, monotonic_time now);
    void sendCorrections();
    void execute(const caller_packet &packet, std::span<const std::byte> bytes,
                 const packet_decision &decision);
    void forward(std::span<const std::byte> bytes, const packet_decision &decision);
    void sendReset(const caller_packet &packet);
    bool isStateFresh(monotonic_time now) const;

    dependencies m_dependencies;
    std::uint16_t m_callerPort;
    monotonic_time m_stalenessBound;
    sender m_send;
    pending_packet_queue m_arrivals;
    monotonic_time m_lastPacketAt {0};
};

} // namespace chicoryhead
