/**
 * @file backend.h
 * A backend as PROTOCOL.md describes it, with a record of the packets that matter for the rules.
 */

#pragma once

#include "core/core_base.h"
#include "directory/directory_base.h"
#include "platform/standin_codec.h"
#include "recorder.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicoryhead::review {

/** One backend; its announcement is written by the fleet. */
class backend
{
public:
    /** @param services addresses of the routes that lead to its service. */
    backend(asio::io_context &context, upstream_announcement announced, std::set<endpoint> services,
            std::uint16_t callerPort, random_source &random, recorder &record);

    const upstream_announcement &announced() const { return m_announced; }

    /** Whether it holds a flow. */
    bool holds(const flow_key &flow) const { return m_flows.contains(flow); }

    /** A packet, other than an opening packet, that arrived. */
    struct arrival
    {
        flow_key flow;
        double at = 0;
        bool isAccepted = false; ///< the flow is open here
    };
    const std::vector<arrival> &arrivals() const { return m_arrivals; }

    /** Sets that one of so many opening answers is lost, drawn at random; 0 for none. */
    void loseOpeningAnswers(unsigned interval) { m_lossInterval = interval; }

    unsigned answersLost() const { return m_answersLost; }

    unsigned datagramsSent() const { return m_datagramsSent; }

    /** Repeats opening answers that are due: after 200 ms, and later up to 1.6 s apart. */
    void tick(double now);

    /** Resets that it sent for packets of flows that it does not hold. */
    unsigned resetsSent() const { return m_resetsSent; }

    unsigned openingsReceived() const { return m_openingsReceived; }

    /** Route on which it last received an opening packet of a flow, by time in s. */
    const std::map<flow_key, double> &openings() const { return m_openings; }

private:
    struct held_flow
    {
        std::uint32_t callerStart = 0;
        std::uint32_t start = 0;
        std::uint32_t sent = 0; ///< bytes of all answers before the last one
        std::uint32_t answeredSequence = 0;
        std::string answer;
        bool isOpen = false; ///< the caller acknowledged the opening answer
        unsigned repeats = 0;
        double repeatAt = 0;
        platform::wire_packet opening;
    };

    void onDatagram(std::span<const std::byte> bytes);
    void onOpening(const platform::wire_packet &packet);
    void answerOpening(held_flow &held);
    void onData(const platform::wire_packet &packet, held_flow &flow);
    void reply(const platform::wire_packet &to, platform::wire_packet answer);

    upstream_announcement m_announced;
    std::set<endpoint> m_services;
    std::uint16_t m_callerPort;
    random_source &m_random;
    recorder &m_record;
    std::map<flow_key, held_flow> m_flows;
    std::map<flow_key, double> m_openings;
    std::vector<arrival> m_arrivals;
    unsigned m_lossInterval = 0;
    unsigned m_answersLost = 0;
    unsigned m_datagramsSent = 0;
    unsigned m_resetsSent = 0;
    unsigned m_openingsReceived = 0;
    udp_socket m_socket;
};

} // namespace chicoryhead::review
