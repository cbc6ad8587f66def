/**
 * @file steering_base.h
 * Interface of a steering policy: which upstream a packet of a flow goes to.
 */

#pragma once

#include "config/config_type.h"
#include "core/core_type.h"
#include "packet/packet_type.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace chicoryhead {

/** What to do with a packet. */
enum class steering_verdict : std::uint8_t {
    Forward, ///< to the upstream of the decision, or a reply to the caller
    Relay,   ///< to another instance, with the relay header of the decision
    Drop,    ///< cannot be placed; the sender transmits it again
    Refuse,  ///< no upstream accepts the flow; it was not passed on
};

/** Name of a verdict for metrics and traces. */
std::string_view toString(steering_verdict verdict);

/** Direction of a relayed packet. */
enum class relay_direction : std::uint8_t { ToUpstream, ToCaller };

/** What accompanies a packet that one instance relays to another. */
struct relay_header
{
    relay_direction direction = relay_direction::ToUpstream;
    std::uint8_t hops = 0;             ///< relays so far; at most maxRelayHops
    upstream_id upstream = noUpstream; ///< decided upstream, or sender of a reply
    /// Home 1's ledger has let the request pass. Only one ledger may decide, else a copy that goes
    /// another way passes the other one.
    bool isAdmitted = false;

    bool operator==(const relay_header &) const = default;
};

/** Relays after which a packet is dropped, so that instances with different views can't loop. */
inline constexpr std::uint8_t maxRelayHops = 3;

/** Outcome of steering one packet. */
struct steering_decision
{
    steering_verdict verdict = steering_verdict::Drop;
    upstream_id upstream = noUpstream; ///< set for Forward
    instance_id relayTo = noInstance;  ///< set for Relay
    relay_header relay;                ///< set for Relay
};

/** A packet with all that steering needs. */
struct steering_input
{
    packet_view packet; ///< kind is Open or Close for open and close frames of request services
    flow_key key;
    flow_hash hash = 0;
    const service_config *service = nullptr; ///< never null
    bool needsHome = false; ///< a non-idempotent request or a cancel, which only home 1 may pass on
};

/** Chooses among the upstreams that may take a new flow. */
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /**
     * Chooses the upstream for a new flow in a tracked slot.
     * @return noUpstream when no upstream accepts new flows.
     */
    virtual upstream_id choose(const service_config &service, const slot_entry &slot,
                               flow_hash hash) = 0;

    /** Whether new flows of a slot with this holder go elsewhere now. */
    virtual bool isDeflected(const service_config &service, upstream_id upstream) const = 0;

    /** Whether the upstream was ever deflected, so that its slots count as tracked. */
    virtual bool wasDeflected(upstream_id upstream) const = 0;

    /**
     * Whether a new flow is admitted under the limits. Called once per new flow, at the instance
     * that places it.
     */
    virtual bool admit(const service_config &service) = 0;
};

/** A flow that is placed at another upstream than its slot's holder. */
struct flow_record
{
    flow_hash hash = 0;
    upstream_id upstream = noUpstream;

    bool operator==(const flow_record &) const = default;
};

/** Copies records between homes when the members change. */
class handover_sink
{
public:
    virtual ~handover_sink() = default;

    /** Queues a record for a home; sent as the byte budget allows, repeated until acknowledged. */
    virtual void sendHandover(instance_id home, const flow_record &record) = 0;
};

/** Number of flows in the local table, for one upstream. */
using upstream_flow_count = std::pair<upstream_id, std::uint32_t>;

/** Steers the packets of all services. */
class steering_policy
{
public:
    virtual ~steering_policy() = default;

    /** Decides for a packet that came from the fabric, from a caller. */
    virtual steering_decision steer(const steering_input &input) = 0;

    /** Decides for a packet from a caller that another instance relayed. */
    virtual steering_decision steerRelayed(const steering_input &input,
                                           const relay_header &header) = 0;

    /**
     * Decides for a reply and learns from it. Forward means to pass it on to the caller.
     * @param upstream sender of the reply, from its outer source address.
     */
    virtual steering_decision steerReply(const steering_input &input, upstream_id upstream) = 0;

    /** Decides for a reply that another instance relayed. */
    virtual steering_decision steerRelayedReply(const steering_input &input,
                                                const relay_header &header) = 0;

    /** Takes a record that another home hands over. */
    virtual void onHandover(const flow_record &record) = 0;

    /** Called after the configuration, the members or an upstream's condition changed. */
    virtual void onChange() = 0;

    /** Expires state; called every 10 ms to 100 ms. */
    virtual void tick() = 0;

    /** Flows in the local table, per upstream, ascending by id. */
    virtual std::vector<upstream_flow_count> countFlows() const = 0;

    /** Records held here as a home. */
    virtual std::size_t countRecords() const = 0;
};

} // namespace chicoryhead
