/**
 * @file steering_detail.h
 * Helpers that both steering policies use.
 */

#pragma once

#include "flow/flow_base.h"
#include "steering_base.h"

namespace chicoryhead::detail {

/** The upstream of a service with an id, or nullptr. */
const upstream_config *upstreamOf(const service_config &service, upstream_id upstream);

/** State of a flow after its first packet. */
flow_state openingState(const service_config &service);

/** State of a flow after its first reply. */
flow_state establishedState(const service_config &service);

/** Whether a packet ends its flow. */
inline bool isClosing(packet_kind kind)
{
    return kind == packet_kind::Close || kind == packet_kind::Reset;
}

/** Decision to pass a packet on to an upstream, or a reply to its caller. */
inline steering_decision forwardTo(upstream_id upstream)
{
    return {steering_verdict::Forward, upstream, noInstance, {}};
}

/** Decision to drop a packet. */
inline steering_decision drop()
{
    return {steering_verdict::Drop, noUpstream, noInstance, {}};
}

/** Decision to refuse a new flow. */
inline steering_decision refuse()
{
    return {steering_verdict::Refuse, noUpstream, noInstance, {}};
}

/**
 * Decision to relay a packet.
 * @param hops relays before this one; at maxRelayHops the packet is dropped.
 */
inline steering_decision relayTo(instance_id instance, relay_direction direction, unsigned hops,
                                 upstream_id upstream)
{
    if (hops >= maxRelayHops)
        return drop();
    return {steering_verdict::Relay,
            noUpstream,
            instance,
            {direction, static_cast<std::uint8_t>(hops + 1), upstream}};
}

} // namespace chicoryhead::detail
