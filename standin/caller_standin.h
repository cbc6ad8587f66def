/**
 * @file caller_standin.h
 * Stand-in of callers at one address: opens flows, sends requests and checks the answers.
 */

#pragma once

#include "core/core_base.h"
#include "deployment_observer.h"
#include "platform/standin_codec.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace chicoryhead::standin {

/** Callers behind one address. Many flows may be open at the same time. */
class caller_standin
{
public:
    /** Chooses the instance that a packet of a flow is handed to; nothing loses the packet. */
    using router = std::function<std::optional<endpoint>(const flow_key &)>;

    caller_standin(asio::io_context &context, const endpoint &address, router route,
                   const clock_source &clock, random_source &random, deployment_observer &observer);

    /** Opens a flow that carries requests until a number of them was answered. */
    void open(const endpoint &service, unsigned requests);

    /** Sends what is due; called every few milliseconds. */
    void tick();

    /** Ends all flows as their callers would. */
    void endAll();

    std::size_t flows() const { return m_flows.size(); }

    /** Stops to give the steering tag back, to see whether a broken flow is noticed. */
    void omitTags() { m_omitsTags = true; }

private:
    /** A flow as its caller sees it. */
    struct caller_flow
    {
        std::uint32_t start = 0;
        std::uint32_t next = 0;         ///< sequence of the next request
        std::uint32_t acknowledged = 0; ///< to send
        std::uint32_t tag = 0;
        unsigned copies = 0;    ///< opening packets sent
        std::string upstream;   ///< empty until the flow is open
        unsigned remaining = 0; ///< requests to come
        std::string request;    ///< in progress; empty between requests
        monotonic_time startedAt {0};
        monotonic_time requestAt {0};
        monotonic_time nextSendAt {0}; ///< when something is sent next
        monotonic_time retryDelay {0}; ///< between repetitions
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
