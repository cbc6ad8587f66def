/**
 * @file packet_log.cpp
 * Event names and fields of the log lines for packet decisions.
 */

#include "packet_log_base.h"

#include "core/log_func.h"
#include "platform/packet_codec.h"

#include <string>
#include <string_view>

namespace chicoryhead {

namespace {

std::string_view eventOf(const packet_decision &decision)
{
    switch (decision.action) {
    case packet_action::Forward:
        return "flow_placed";
    case packet_action::Reset:
        return decision.reason == packet_reason::UpstreamDead
                || decision.reason == packet_reason::UpstreamStalled
            ? "flow_ended"
            : "flow_refused";
    case packet_action::Drop:
        break;
    }
    return "packet_dropped";
}

/// Formats a number from 0 to 1 with two decimal places.
std::string formatFraction(double fraction)
{
    return std::to_string(fraction).substr(0, 4);
}

} // namespace

void packet_log::logMalformed(std::size_t bytes, std::error_code code)
{
    m_log.write(
        "packet_dropped",
        {{"reason", "malformed"}, {"bytes", std::to_string(bytes)}, {"error", code.message()}});
}

void packet_log::logDecision(const caller_packet &packet, std::span<const std::byte> bytes,
                             const packet_decision &decision, monotonic_time now)
{
    const bool isTagReplaced = decision.reason == packet_reason::TagReplaced;
    if (isTagReplaced)
        m_log.write(
            "tag_replaced",
            {{"flow", toString(packet.flow)}, {"upstream", decision.upstream->announced.name}});
    if (isTagReplaced || decision.reason == packet_reason::Steered)
        logRequest(packet, bytes, decision, now);
    else
        logFlow(packet, decision, now);
    logSuspicion(packet, decision);
}

void packet_log::logHedge(const hedged_opening &hedge)
{
    constexpr std::string_view event = "flow_hedged";
    if (!m_log.isEnabled(event))
        return;
    m_log.write(event,
                {{"flow", toString(hedge.opening.flow)},
                 {"service", hedge.first->announced.service},
                 {"first", hedge.first->announced.name},
                 {"second", hedge.decision.upstream->announced.name},
                 {"delay_ms", formatMilliseconds(hedge.delay)}});
}

void packet_log::logCorrection(const tag_correction &correction)
{
    m_log.write("tag_corrected",
                {{"flow", toString(correction.packet.flow)},
                 {"upstream", correction.decision.upstream->announced.name},
                 {"holder", correction.holder->announced.name}});
}

void packet_log::logFlow(const caller_packet &packet, const packet_decision &decision,
                         monotonic_time now)
{
    const std::string_view event = eventOf(decision);
    if (!m_log.isEnabled(event))
        return;
    if (decision.service != nullptr) {
        m_log.write(event,
                    {{"flow", toString(packet.flow)},
                     {"reason", std::string(toString(decision.reason))},
                     {"service", *decision.service},
                     {"delay_ms", formatMilliseconds(decision.load.queueingDelay)},
                     {"fraction", formatFraction(decision.load.refusedFraction)},
                     {"copy", std::to_string(packet.acknowledged)},
                     {"version", std::to_string(m_routes.version())},
                     {"state_age_ms", stateAge(now)}});
        return;
    }
    m_log.write(
        event,
        {{"flow", toString(packet.flow)},
         {"reason", std::string(toString(decision.reason))},
         {"upstream", decision.upstream != nullptr ? decision.upstream->announced.name : "none"},
         {"unanswered_by",
          decision.unansweredBy != nullptr ? decision.unansweredBy->announced.name : "none"},
         {"copy", packet.isOpening ? std::to_string(packet.acknowledged) : "none"},
         {"request_age_ms",
          decision.evidenceAge.count() > 0 ? formatMilliseconds(decision.evidenceAge) : "none"},
         {"version", std::to_string(m_routes.version())},
         {"state_age_ms", stateAge(now)}});
}

void packet_log::logSuspicion(const caller_packet &packet, const packet_decision &decision)
{
    if (decision.isNewlySuspected && decision.unansweredBy != nullptr)
        m_log.write("upstream_suspected",
                    {{"upstream", decision.unansweredBy->announced.name},
                     {"flow", toString(packet.flow)},
                     {"copy", std::to_string(packet.acknowledged)},
                     {"standing", std::string(toString(decision.unansweredBy->lifecycle))}});
    if (decision.isNewlyTrusted)
        m_log.write(
            "upstream_trusted",
            {{"upstream", decision.upstream->announced.name}, {"flow", toString(packet.flow)}});
}

void packet_log::logRequest(const caller_packet &packet, std::span<const std::byte> bytes,
                            const packet_decision &decision, monotonic_time now)
{
    const bool isRepeated = decision.unansweredFor.count() > 0;
    if (!isRepeated && !decision.isFirstRequestPacket)
        return;
    const std::string_view event = isRepeated ? "request_repeated" : "request_forwarded";
    if (!m_log.isEnabled(event))
        return;
    const upstream_record &upstream = *decision.upstream;
    m_log.write(event,
                {{"request", std::string(platform::findRequestId(bytes))},
                 {"flow", toString(packet.flow)},
                 {"upstream", upstream.announced.name},
                 {"standing", std::string(toString(upstream.lifecycle))},
                 {"unanswered_ms", formatMilliseconds(decision.unansweredFor)},
                 {"state_age_ms", stateAge(now)}});
}

std::string packet_log::stateAge(monotonic_time now) const
{
    return formatMilliseconds(now - m_state.confirmedAt());
}

} // namespace chicoryhead
