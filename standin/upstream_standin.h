/**
 * @file upstream_standin.h
 * Simulated upstream that answers opening packets and requests directly to callers.
 */

#pragma once

#include "core/core_base.h"
#include "deployment_observer.h"
#include "directory/directory_base.h"
#include "platform/standin_codec.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace chicoryhead::standin {

/** One upstream on an io_context. */
class upstream_standin
{
public:
    /**
     * @param services addresses at which callers reach its service.
     * @param callerPort port of all callers.
     */
    upstream_standin(asio::io_context &context, upstream_announcement announced,
                     std::set<endpoint> services, std::uint16_t callerPort, random_source &random,
                     deployment_observer &observer);

    /** Marks the announcement as draining; the owner writes it to the store. */
    void drain()
    {
        m_announced.isDraining = true;
        ++m_announced.sequenceNumber;
    }

    /** Counts up the announcement, to write it to the store once more. */
    void renewAnnouncement() { ++m_announced.sequenceNumber; }

    const upstream_announcement &announced() const { return m_announced; }

    /** Sets the number of flows above which opening packets are ignored. */
    void setMaxFlows(std::size_t maxFlows) { m_maxFlows = maxFlows; }

    /** Cuts the upstream off from all instances and callers, or connects it again. */
    void setCut(bool isCut) { m_isCut = isCut; }

    /** Number of flows that it holds. */
    std::size_t countFlows() const { return m_flows.size(); }

private:
    /** State of an open flow. */
    struct held_flow
    {
        std::uint32_t callerStart = 0; ///< sequence number of the opening packet
        std::uint32_t start = 0;       ///< own sequence number of the opening answer
        std::uint32_t sent = 0;        ///< bytes of all answers before the last one
        std::uint32_t answeredSequence = 0;
        std::string answer; ///< to the last request; resent when the request is retransmitted
    };

    void onDatagram(std::span<const std::byte> bytes);
    void onOpening(const platform::wire_packet &packet);
    void onData(const platform::wire_packet &packet, held_flow &flow);
    void reply(const platform::wire_packet &to, platform::wire_packet answer);

    upstream_announcement m_announced;
    std::set<endpoint> m_services;
    std::uint16_t m_callerPort;
    random_source &m_random;
    deployment_observer &m_observer;
    std::map<flow_key, held_flow> m_flows;
    std::size_t m_maxFlows = SIZE_MAX;
    bool m_isCut = false;
    udp_socket m_socket;
};

} // namespace chicoryhead::standin
