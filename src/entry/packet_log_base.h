/**
 * @file packet_log_base.h
 * Event log lines for packet decisions.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "eventlog/event_log_base.h"
#include "forward/forwarder_base.h"
#include "routing/routing_base.h"
#include "sync/fleet_state_base.h"

#include <cstddef>
#include <span>

namespace chicoryhead {

/** Logs packet decisions with the inputs they are based on. */
class packet_log
{
public:
    packet_log(event_log &log, const routing_table &routes, const fleet_state &state)
        : m_log(log), m_routes(routes), m_state(state)
    {
    }

    /** Logs a datagram that can't be decoded. */
    void logMalformed(std::size_t bytes, std::error_code code);

    /**
     * Logs a decision. A packet that is steered by its tag is logged only if it starts a request
     * or repeats its data.
     */
    void logDecision(const caller_packet &packet, std::span<const std::byte> bytes,
                     const packet_decision &decision, monotonic_time now);

    /** Logs an opening packet that is sent to a second upstream. */
    void logHedge(const hedged_opening &hedge);

    /** Logs an opening packet that gives an upstream another one's tag. */
    void logCorrection(const tag_correction &correction);

private:
    void logFlow(const caller_packet &packet, const packet_decision &decision, monotonic_time now);
    void logSuspicion(const caller_packet &packet, const packet_decision &decision);
    void logRequest(const caller_packet &packet, std::span<const std::byte> bytes,
                    const packet_decision &decision, monotonic_time now);
    std::string stateAge(monotonic_time now) const;

    event_log &m_log;
    const routing_table &m_routes;
    const fleet_state &m_state;
};

} // namespace chicoryhead
