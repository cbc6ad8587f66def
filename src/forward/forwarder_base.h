/**
 * @file forwarder_base.h
 * Decides where each packet of a caller goes.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"
#include "directory/directory_base.h"
#include "flow_table_base.h"
#include "health/latency_exchange_base.h"
#include "health/upstream_health_base.h"
#include "placement/placement_base.h"
#include "routing/routing_base.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** What happens to a packet. */
enum class packet_action : std::uint8_t {
    Forward, ///< to the upstream
    Reset,   ///< dropped, and the caller's flow or attempt to open one is ended
    Drop,
};

/** Why a packet goes where it goes. */
enum class packet_reason : std::uint8_t {
    Steered,         ///< its tag names the upstream
    Placed,          ///< opening packet, an upstream was chosen
    PlacedAgain,     ///< copy of an opening packet, to another upstream
    Repeated,        ///< copy of an opening packet, to the same upstream
    NoRoute,         ///< no route has this service address
    NoUpstream,      ///< the service has no upstream that takes new flows
    NoTag,           ///< packet of an open flow without tag
    UnknownTag,      ///< its tag names no upstream on this service address
    FromUpstream,    ///< looks like an upstream's answer
    StaleOpening,    ///< opening packet that waited while this process did not run
    UpstreamDead,    ///< the flow's upstream answers nobody, so that the caller may try again
    NotSynchronised, ///< this instance has no configuration yet
    Malformed,       ///< not a packet
};

/** Number of reasons, for tables of counters. */
inline constexpr std::size_t packetReasonCount = 13;

/** Name of a reason for logs and metrics. */
std::string_view toString(packet_reason reason);

/** Outcome for one packet. */
struct packet_decision
{
    packet_action action = packet_action::Drop;
    packet_reason reason = packet_reason::Malformed;
    const upstream_record *upstream = nullptr; ///< not null if and only if forwarded
    steering_tag tag = noTag;                  ///< to write into the packet when forwarded
    /// Upstream that left an earlier copy of this opening packet unanswered, or that answers nobody
    /// on an open flow; null for none.
    const upstream_record *unansweredBy = nullptr;
    bool isNewlySuspected = false;     ///< the upstream that did not answer is avoided from now on
    bool isNewlyTrusted = false;       ///< the upstream answered, after it had not answered others
    bool isFirstRequestPacket = false; ///< first data of a request as far as seen here
    /// Since the request was first seen, when the caller sends its data again; 0 otherwise.
    monotonic_time unansweredFor {0};
    monotonic_time latency {0}; ///< of a request whose answer this packet acknowledges; 0 for none
};

/** Times of the data path. */
struct forwarder_settings
{
    /// A copy of an opening packet goes to another upstream only if the first one was sent on at
    /// least this long ago. An upstream answers within milliseconds, so a later answer was lost;
    /// sooner, both copies may have waited here, and two upstreams would answer. Callers of all
    /// deployments send copies after 200 and 600 ms.
    monotonic_time connectTimeout = std::chrono::milliseconds(150);
    std::size_t maxTrackedFlows = 16384; ///< 2 MB
    /// Flows that are idle longer are not observed any more.
    monotonic_time flowIdleTimeout = std::chrono::seconds(15);
    /// A request that its caller gives up after this time or later counts against the upstream, or
    /// upstreams that never answer would seem as fast as before. Requests that are still open say
    /// nothing: their answers may be acknowledged at another instance.
    monotonic_time minAbortedRequestAge = std::chrono::milliseconds(500);
    /// A request that takes longer says more about a lost packet than about the upstream.
    monotonic_time maxLatency = std::chrono::seconds(10);
};

/** The data path of one instance, without sockets. */
class forwarder
{
public:
    forwarder(const routing_table &routes, const upstream_directory &directory,
              flow_placement &placement, upstream_health &health, latency_exchange &latencies,
              forwarder_settings settings = {});

    /**
     * Decides about one packet.
     * @param isStateFresh the configuration was confirmed lately, so that a missing route or
     * upstream can be told to the caller.
     */
    packet_decision decide(const caller_packet &packet, bool isStateFresh, monotonic_time now);

    /** Whether a packet names an upstream that is known, so that no configuration is needed. */
    bool isSteerable(const caller_packet &packet) const;

    /**
     * Takes the open flows to an upstream that were seen here, so that they can be ended.
     * @return a packet of each flow with what its caller acknowledged last.
     */
    std::vector<caller_packet> extractFlowsOf(upstream_id upstream);

    /** Forgets flows that are idle; called about once per second. */
    void expire(monotonic_time now);

    std::size_t countTrackedFlows() const { return m_flowTable.size(); }

    /** Flows seen lately by upstream. */
    std::map<upstream_id, std::uint64_t> countFlowsByUpstream() const
    {
        return m_flowTable.countByUpstream();
    }

private:
    packet_decision decideOpening(const caller_packet &packet, bool isStateFresh,
                                  monotonic_time now);
    packet_decision decideOpenFlow(const caller_packet &packet, monotonic_time now);
    /** Where a copy of an opening packet goes again; null if it needs another upstream. */
    const upstream_record *retransmissionTarget(const flow_entry &flow, monotonic_time now) const;
    packet_decision forwardTo(const caller_packet &packet, const upstream_record &upstream,
                              packet_reason reason) const;
    void trackOpenFlow(const caller_packet &packet, monotonic_time now, packet_decision &decision);
    void trackAcknowledgement(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                              packet_decision &decision);
    void trackClosing(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                      packet_decision &decision);
    void trackRequest(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                      packet_decision &decision);

    const routing_table &m_routes;
    const upstream_directory &m_directory;
    flow_placement &m_placement;
    upstream_health &m_health;
    latency_exchange &m_latencies;
    forwarder_settings m_settings;
    flow_table m_flowTable;
};

} // namespace chicoryhead
