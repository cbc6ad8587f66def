/**
 * @file caller_standin.h
 * Simulated callers behind one address: open flows, send requests and check the answers.
 */

#pragma once

#include "core/core_base.h"
#include "deployment_observer.h"
#include "platform/standin_codec.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace chicoryhead::standin {

/** Callers behind one address. Many flows may be open at the same time. */
class caller_standin
{
public:
    /** Selects the instance that receives a packet of a flow; the packet is dropped without one. */
    using router = std::function<std::optional<endpoint>(const flow_key &)>;

    caller_standin(asio::io_context &context, const endpoint &address, router route,
                   const clock_source &clock, random_source &random, deployment_observer &observer);

    /**
     * Opens a flow, which is closed after the given number of answered requests.
     * @param thinkTime between an answer and the next request.
     */
    void open(const endpoint &service, unsigned requests,
              monotonic_time thinkTime = defaultThinkTime);

    /** Sends due packets and retransmissions; must be called every few milliseconds. */
    void tick();

    /** Closes all flows as their callers would. */
    void endAll();

    std::size_t flows() const { return m_flows.size(); }

    static constexpr monotonic_time defaultThinkTime = std::chrono::milliseconds(120);

    /** Stops echoing the steering tag, to verify that broken flows are detected. */
    void omitTags() { m_omitsTags = true; }

private:
    /** State of a flow at its caller. */
    struct caller_flow
    {
        std::uint32_t start = 0;
        std::uint32_t next = 0;         ///< sequence number of the next request
        std::uint32_t acknowledged = 0; ///< acknowledgement number to send
        std::uint32_t tag = 0;
        unsigned copies = 0;    ///< opening packets sent
        std::string upstream;   ///< empty until the flow is open
        unsigned remaining = 0; ///< requests still to be answered
        monotonic_time thinkTime {0};
        std::string request; ///< in flight; empty between requests
        monotonic_time startedAt {0};
        monotonic_time requestAt {0};
        monotonic_time nextSendAt {0}; ///< time of the next request or retransmission
        monotonic_time retryDelay {0}; ///< between retransmissions
    };

    void onDatagram(std::span<const std::byte> bytes);
    void onOpened(const flow_key &key, caller_flow &flow, const platform::wire_packet &packet);
    void onAnswer(const flow_key &key, caller_flow &flow, const platform::wire_packet &packet);
    bool tickOpening(const flow_key &key, caller_flow &flow, monotonic_time now);
    bool tickOpen(const flow_key &key, caller_flow &flow, monotonic_time now);
    void send(const flow_key &key, const caller_flow &flow, platform::wire_packet packet);
    void sendEnd(const flow_key &key, const caller_flow &flow);

    endpoint m_address;
    router m_route;
    const clock_source &m_clock;
    random_source &m_random;
    deployment_observer &m_observer;
    std::map<flow_key, caller_flow> m_flows;
    std::uint16_t m_nextPort = 10000;
    std::uint64_t m_nextRequest = 1;
    bool m_omitsTags = false;
    udp_socket m_socket;
};

} // namespace chicoryhead::standin
