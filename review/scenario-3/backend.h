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

namespace chicoryhead::review {

/** One backend; its announcement is written by the fleet. */
class backend
{
public:
    /** @param services addresses of the routes that lead to its service. */
    backend(asio::io_context &context, upstream_announcement announced, std::set<endpoint> services,
            std::uint16_t callerPort, random_source &random, recorder &record);

private:
    struct held_flow
    {
        std::uint32_t callerStart = 0;
        std::uint32_t start = 0;
        std::uint32_t sent = 0; ///< bytes of all answers before the last one
        std::uint32_t answeredSequence = 0;
        std::string answer;
    };

    void onDatagram(std::span<const std::byte> bytes);
    void onOpening(const platform::wire_packet &packet);
    void onData(const platform::wire_packet &packet, held_flow &flow);
    void reply(const platform::wire_packet &to, platform::wire_packet answer);

    upstream_announcement m_announced;
    std::set<endpoint> m_services;
    std::uint16_t m_callerPort;
    random_source &m_random;
    recorder &m_record;
    std::map<flow_key, held_flow> m_flows;
    udp_socket m_socket;
};

} // namespace chicoryhead::review
