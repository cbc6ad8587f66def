/**
 * @file caller.h
 * Callers as PROTOCOL.md describes them: they keep flows open for several requests, with pauses,
 * and send the tag that they received last.
 */

#pragma once

#include "platform/standin_codec.h"
#include "record.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace chicoryhead::review {

/** Receives what callers saw. */
class caller_observer
{
public:
    virtual ~caller_observer() = default;

    /** A reset arrived on a flow that is open or being opened. */
    virtual void onReset(const flow_key &flow, const endpoint &sender) = 0;

    /** A request was answered, or its deadline passed; the caller then ends the flow. */
    virtual void onRequestEnd(const flow_key &flow, const std::string &request,
                              bool isAnswered) = 0;

    /** The caller ended the flow, or its attempt to open one. */
    virtual void onFlowEnd(const flow_key &flow, bool wasOpen) = 0;
};

/** What a caller does on a flow. */
struct flow_plan
{
    unsigned requests = 1;
    monotonic_time pause {0};    ///< between an answer and the next request
    monotonic_time deadline {0}; ///< of a request
};

/** Callers behind one address. */
class caller
{
public:
    /** Selects the instance that receives a packet of a flow. */
    using router = std::function<std::optional<endpoint>(const flow_key &)>;

    caller(asio::io_context &context, const endpoint &address, router route, random_source &random,
           record &log, caller_observer &observer);

    /** Opens a flow; returns its key. */
    flow_key open(const endpoint &service, const flow_plan &plan);

    /** Sends due packets; called every few milliseconds. */
    void tick();

private:
    struct flow_state
    {
        flow_plan plan;
        std::uint32_t start = 0;
        std::uint32_t next = 0;         ///< sequence number of the next data
        std::uint32_t acknowledged = 0; ///< next sequence number expected from the upstream
        std::uint32_t tag = 0;          ///< last one received
        unsigned copies = 0;            ///< opening packets sent
        bool isOpen = false;
        monotonic_time startedAt {0};
        std::string request; ///< without an answer so far
        bool isAcknowledged = false;
        monotonic_time requestAt {0};
        monotonic_time sendAt {0}; ///< time of the next request or repetition
        monotonic_time delay {0};
    };

    void onDatagram(std::span<const std::byte> bytes, const endpoint &from);
    bool tickOpening(const flow_key &key, flow_state &flow);
    bool tickOpen(const flow_key &key, flow_state &flow);
    void sendRequest(const flow_key &key, flow_state &flow);
    void send(const flow_key &key, const flow_state &flow, platform::wire_packet packet);

    endpoint m_address;
    router m_route;
    random_source &m_random;
    record &m_log;
    caller_observer &m_observer;
    std::map<flow_key, flow_state> m_flows;
    std::uint16_t m_nextPort = 40001;
    unsigned m_nextRequest = 1;
    udp_socket m_socket;
};

} // namespace chicoryhead::review
