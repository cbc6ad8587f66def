/**
 * @file upstream.h
 * An upstream as PROTOCOL.md describes it: it answers opening packets, repeats what is not
 * acknowledged, and ignores packets of a flow that is open elsewhere.
 */

#pragma once

#include "platform/standin_codec.h"
#include "record.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>

namespace chicoryhead::review {

/** Receives what an upstream saw. */
class upstream_observer
{
public:
    virtual ~upstream_observer() = default;

    /** A packet of a flow reached an upstream. */
    virtual void onPacket(const std::string &upstream, const platform::wire_packet &packet) = 0;

    /** The upstream has the end of the handshake. */
    virtual void onFlowOpen(const std::string &upstream, const flow_key &flow) = 0;

    /** The upstream began to work on a request. */
    virtual void onRun(const std::string &upstream, const std::string &request) = 0;

    /** Whether the first answer to the opening packet of a flow is lost on its way. */
    virtual bool isFirstAnswerLost(const flow_key &flow) = 0;
};

/** One upstream on an io_context. */
class upstream
{
public:
    upstream(asio::io_context &context, upstream_announcement announced, std::uint16_t callerPort,
             random_source &random, record &log, upstream_observer &observer);

    const upstream_announcement &announced() const { return m_announced; }

    /** Marks the announcement as draining; the owner writes it to the store. */
    void drain()
    {
        m_announced.isDraining = true;
        ++m_announced.sequenceNumber;
    }

    /** Sends answers and repetitions that are due; called every few milliseconds. */
    void tick();

private:
    struct flow_state
    {
        bool isOpen = false;
        std::uint32_t callerNext = 0; ///< sequence number of the next data from the caller
        std::uint32_t start = 0;      ///< own sequence number of the opening answer
        std::uint32_t next = 0;       ///< own sequence number of the next answer
        std::uint32_t tag = 0;        ///< last one received
        std::string waiting;          ///< request in work
        monotonic_time doneAt {0};
        std::string answer; ///< not acknowledged so far
        unsigned repetitions = 0;
        monotonic_time repeatAt {0};
        monotonic_time delay {0};
    };

    void onDatagram(std::span<const std::byte> bytes);
    void onOpening(const flow_key &flow, const platform::wire_packet &packet);
    void onData(const flow_key &flow, flow_state &state, const platform::wire_packet &packet);
    void sendOpeningAnswer(const flow_key &flow, const flow_state &state);
    void sendAnswer(const flow_key &flow, const flow_state &state);
    void scheduleRepetition(flow_state &state, bool isFirst);
    void send(const flow_key &flow, platform::wire_packet packet);

    upstream_announcement m_announced;
    std::uint16_t m_callerPort;
    random_source &m_random;
    record &m_log;
    upstream_observer &m_observer;
    std::map<flow_key, flow_state> m_flows;
    udp_socket m_socket;
};

} // namespace chicoryhead::review
