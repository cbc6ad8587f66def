/**
 * @file forwarder_base.h
 * Forwarding decisions for the packets of callers.
 */

#pragma once

#include "admission/admission_controller_base.h"
#include "admission/refused_openings_base.h"
#include "answer_history_base.h"
#include "core/caller_packet_type.h"
#include "core/core_type.h"
#include "directory/directory_base.h"
#include "duplicate_openings_base.h"
#include "flow_table_base.h"
#include "health/latency_exchange_base.h"
#include "health/upstream_health_base.h"
#include "hedging/hedge_budget_base.h"
#include "hedging/opening_hedger_base.h"
#include "placement/placement_base.h"
#include "policy/traffic_policy_type.h"
#include "request_watch_list_base.h"
#include "routing/routing_base.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicoryhead {

/** Action taken on a packet. */
enum class packet_action : std::uint8_t {
    Forward, ///< to the upstream
    Reset,   ///< dropped; the caller's flow or attempt to open one is reset
    Drop,
};

/** Reason of a forwarding decision. */
enum class packet_reason : std::uint8_t {
    Steered,      ///< forwarded to the upstream that its tag names
    TagReplaced,  ///< forwarded to the upstream that the flow is open at; the tag names another
                  ///< one that answered its opening packet too
    Placed,       ///< opening packet, forwarded to a newly selected upstream
    PlacedAgain,  ///< retransmitted opening packet, forwarded to another upstream
    Hedged,       ///< opening packet, sent once more to a second upstream
    Repeated,     ///< retransmitted opening packet, forwarded to the same upstream
    TagCorrected, ///< opening packet, sent again to an upstream that the flow is not open at, with
                  ///< the tag of the one that it is open at
    NoRoute,      ///< no route for the service address
    NoUpstream,   ///< the service has no upstream that takes new flows
    NoCapacity,   ///< the service is overloaded, or its upstreams have enough connections
    NoTag,        ///< packet of an open flow without a steering tag
    UnknownTag,   ///< the tag names no upstream for this service address
    FromUpstream, ///< looks like an answer of an upstream
    StaleOpening, ///< opening packet queued while this process was suspended
    UpstreamDead, ///< the flow's upstream is dead; the caller is reset so that it can retry
    UpstreamStalled, ///< the upstream answers no requests; the caller is reset so that it can
                     ///< repeat the request elsewhere
    NotSynchronised, ///< this instance has no configuration yet
    Malformed,       ///< not a valid packet
};

/** Number of reasons, for counter tables. */
inline constexpr std::size_t packetReasonCount = 18;

/** Name of a reason for logs and metrics. */
std::string_view toString(packet_reason reason);

/** Decision about one packet. */
struct packet_decision
{
    packet_action action = packet_action::Drop;
    packet_reason reason = packet_reason::Malformed;
    const upstream_record *upstream = nullptr; ///< null if and only if not forwarded
    steering_tag tag = noTag;                  ///< tag to write into a forwarded packet
    /// Upstream that left an earlier transmission of this opening packet unanswered, or the dead or
    /// stalled upstream of an open flow; null for none.
    const upstream_record *unansweredBy = nullptr;
    bool isNewlySuspected = false;     ///< the upstream that did not answer becomes suspected
    bool isNewlyTrusted = false;       ///< the upstream answered, which ends its suspicion
    bool isHedgeable = false;          ///< opening packet that scheduleHedge() is to be called for
    bool isFirstRequestPacket = false; ///< first data of a request, as seen by this instance
    /// For retransmitted data of a request, the time since it was first seen; 0 otherwise.
    monotonic_time unansweredFor {0};
    /// For a flow whose upstream is dead or stalled, the time since the latest request that the
    /// upstream left unanswered; 0 if none is known.
    monotonic_time evidenceAge {0};
    /// Latency of the request whose answer this packet acknowledges; 0 for none.
    monotonic_time latency {0};
    /// For NoCapacity, the service; valid until the configuration changes. Null otherwise.
    const std::string *service = nullptr;
    service_load load {}; ///< of that service
};

/** An opening packet to be sent to a second upstream. */
struct hedged_opening
{
    pending_hedge opening;
    const upstream_record *first = nullptr; ///< upstream that has not answered so far; never null
    packet_decision decision;               ///< with the second upstream
    monotonic_time delay {0};               ///< since the packet was forwarded to the first
};

/** An opening packet for an upstream that may have accepted a flow that is open at another one. */
struct tag_correction
{
    caller_packet packet;
    opening_bytes bytes {};
    packet_decision decision;                ///< with the tag of the upstream that holds the flow
    const upstream_record *holder = nullptr; ///< never null
};

/** Whether a service has more requests than it can run. */
using overload_check = std::function<bool(const std::string &service)>;

/** Times and capacities of the data path. */
struct forwarder_settings
{
    /// An opening packet counts as unanswered if its caller retransmits it at least this long after
    /// it was last forwarded. An upstream answers within milliseconds, so by then the packet or its
    /// answer was lost. A shorter interval may mean that both packets were queued in this instance.
    /// Callers of all deployments retransmit after 200 and 600 ms.
    monotonic_time connectTimeout = std::chrono::milliseconds(150);
    std::size_t maxTrackedFlows = 16384; ///< about 2.5 MB
    /// Flows that are idle for longer are no longer tracked.
    monotonic_time flowIdleTimeout = std::chrono::seconds(15);
    /// A request that its caller aborts after at least this time counts as a latency sample;
    /// otherwise upstreams that never answer would seem as fast as before.
    monotonic_time minAbortedRequestAge = std::chrono::milliseconds(500);
    /// A request in progress counts as a latency sample at this fraction of its route's target
    /// latency, then each time that its age has doubled, up to the target latency.
    double firstSampleFraction = 0.25;
    /// A request without an answer counts as waiting at half of its route's target latency and as
    /// stalled at the whole, but not before this age, so that a packet that was lost would have
    /// been sent again.
    monotonic_time minStalledRequestAge = std::chrono::milliseconds(400);
    /// Requests that are older by then are no longer reset for a stalled upstream: the deadlines of
    /// most routes have passed.
    monotonic_time maxStalledRequestAge = std::chrono::seconds(10);
    /// Sequence numbers that are further apart, in bytes, belong to different flows.
    std::int32_t maxSequenceDistance = 1 << 20;
    /// Times that the data of a flow that is not confirmed is sent again before its tag is followed
    /// instead of the upstream that its first packet went to.
    unsigned maxRepeatedData = 2;
    /// Longer latencies are ignored: they indicate a lost packet rather than a slow upstream.
    monotonic_time maxLatency = std::chrono::seconds(10);
};

/** An open flow that is to be reset because its upstream is stalled. */
struct stalled_flow
{
    caller_packet packet; ///< with the last acknowledgement number of the caller
    packet_decision decision;
};

/** Data path of one instance, without sockets. */
class forwarder
{
public:
    forwarder(const routing_table &routes, const upstream_directory &directory,
              flow_placement &placement, upstream_health &health, latency_exchange &latencies,
              forwarder_settings settings = {});

    /**
     * Decides what to do with a packet.
     * @param isStateFresh the configuration was recently confirmed, so that a caller can be refused
     * for a missing route or upstream.
     */
    packet_decision decide(const caller_packet &packet, bool isStateFresh, monotonic_time now);

    /** Whether the packet's tag names a known upstream, so that no configuration is needed. */
    bool isSteerable(const caller_packet &packet) const;

    /**
     * Stops tracking the open flows of an upstream and returns them, so that they can be reset.
     * @return a packet for each flow with the last acknowledgement number of its caller.
     */
    std::vector<caller_packet> extractFlowsOf(upstream_id upstream);

    /**
     * Stops tracking flows whose request in progress is stalled at a stalled upstream, as far as
     * their callers may repeat it and the hedging budget allows, and returns them, so that they can
     * be reset. Must not be called while packets are handled late.
     */
    std::vector<stalled_flow> extractStalledFlows(monotonic_time now);

    /**
     * Records that the fabric is about to move this instance's flows elsewhere. Answers to requests
     * in progress will not be seen here, so these are no longer taken for stalled.
     */
    void noteStopping() { m_isStopping = true; }

    /**
     * Records the ages of requests in progress, so that an upstream that accepts requests and never
     * answers them loses its share before callers give up. Must not be called while packets are
     * handled late: their answers may be in the socket.
     */
    void sampleRequestsInProgress(monotonic_time now);

    /** Sets the limit on extra work for requests that may be repeated. */
    void setHedgingPolicy(const hedging_policy &policy);

    /** Sets the condition under which a service gets no hedges; without one, none is overloaded. */
    void setOverloadCheck(overload_check isOverloaded) { m_isOverloaded = std::move(isOverloaded); }

    /**
     * Keeps an opening packet whose decision is hedgeable until its hedging delay has passed.
     * @param first upstream that it was forwarded to.
     */
    void scheduleHedge(const caller_packet &packet, upstream_id first,
                       std::span<const std::byte> bytes, monotonic_time now);

    /** When takeHedge() is to be called; std::nullopt while no opening packet waits. */
    std::optional<monotonic_time> nextHedgeDueAt();

    /**
     * Takes an opening packet that is due for a second upstream. Packets that are due and may not
     * be hedged are discarded. Received packets must have been decided before.
     * @param isTimingReliable packets were recently handled without much delay; otherwise the
     * answers that callers confirmed may not have been seen, and nothing is hedged.
     * @return std::nullopt if there is none.
     */
    std::optional<hedged_opening> takeHedge(bool isTimingReliable, monotonic_time now);

    /**
     * Keeps an opening packet that was sent to a further upstream, so that all but the one that the
     * flow opens at can be given its tag.
     */
    void keepOpening(const flow_key &flow, std::uint32_t sequence, std::span<const std::byte> bytes,
                     monotonic_time now);

    /** Takes the opening packets to be sent after a call of decide(). */
    std::vector<tag_correction> takeCorrections();

    /** Hedges that were not sent because the budget was used up. */
    std::uint64_t hedgesRefused() const { return m_hedgesRefused; }

    /** Time from an opening packet to its hedge; 0 while hedging is off. */
    monotonic_time hedgingDelay() const
    {
        return m_hedger.isEnabled() ? m_hedger.delay() : monotonic_time {0};
    }

    double hedgeBudgetPercent() const { return m_hedgeBudget.percent(); }

    /** Turns admission control and the limit on connections on or off. */
    void setAdmissionPolicy(const admission_policy &policy);

    /** Load of the services, as observed by this instance. */
    const admission_controller &admission() const { return m_admission; }

    /** Discards observations of load: the process was suspended, and answers waited for it. */
    void noteResumed(monotonic_time now) { m_admission.noteResumed(now); }

    /** Stops tracking idle flows; called about once per second. */
    void expire(monotonic_time now);

    std::size_t countTrackedFlows() const { return m_flowTable.size(); }

    /** Number of tracked flows by upstream. */
    std::map<upstream_id, std::uint64_t> countFlowsByUpstream() const
    {
        return m_flowTable.countByUpstream();
    }

private:
    packet_decision decideOpening(const caller_packet &packet, bool isStateFresh,
                                  monotonic_time now);
    std::optional<upstream_id> chooseUpstream(const std::string &service, const flow_entry *retried,
                                              monotonic_time now);
    flow_entry *findUnopened(const pending_hedge &opening);
    const upstream_record *chooseHedgeTarget(const pending_hedge &opening, const flow_entry &flow,
                                             monotonic_time now);
    static const std::string &serviceOf(const route &selected, const flow_key &flow,
                                        std::uint32_t openingSequence);
    packet_decision refuseForCapacity(const caller_packet &packet, const std::string &service,
                                      monotonic_time now);
    packet_decision decideOpenFlow(const caller_packet &packet, monotonic_time now);
    /** The upstream that a flow is open at, if its packet has the tag of another one by mistake. */
    const upstream_record *findOtherHolder(const caller_packet &packet, const flow_entry &flow,
                                           upstream_id tagged) const;
    /** Whether a packet continues the sequence numbers of both ends of an open flow. */
    bool isContinuation(const caller_packet &packet, const flow_entry &flow) const;
    void confirmHolder(const caller_packet &packet, flow_entry &flow,
                       const packet_decision &decision);
    void correctOthers(const flow_key &key, const flow_entry &flow);
    void correctTag(const flow_key &key, const flow_entry &flow, upstream_id other);
    /** Upstream for a retransmitted opening packet; null if another one must be selected. */
    const upstream_record *retransmissionTarget(const flow_entry &flow, monotonic_time now) const;
    bool mayRepeatOpening(const flow_entry &flow, monotonic_time now) const;
    packet_decision forwardTo(const caller_packet &packet, const upstream_record &upstream,
                              packet_reason reason) const;
    void trackOpenFlow(const caller_packet &packet, monotonic_time now, packet_decision &decision);
    void trackAcknowledgement(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                              packet_decision &decision);
    void trackClosing(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                      packet_decision &decision);
    void trackRequest(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                      packet_decision &decision);
    void watchRequest(const caller_packet &packet, monotonic_time now);
    /** The flow of a watched request; null if the request is no longer in progress. */
    const flow_entry *findInProgress(const watched_request &request);
    void noteStalledRequests(monotonic_time now);
    bool mayHaveMoved(const watched_request &request, monotonic_time now) const;
    bool hasAlternative(const upstream_record &upstream, monotonic_time now) const;
    /** Whether the callers of a flow may repeat its requests. */
    bool isRepeatable(const flow_key &flow) const;
    packet_decision endStalled(const upstream_record *upstream, monotonic_time now) const;
    void recordRequestInProgress(const watched_request &request, upstream_id upstream,
                                 monotonic_time now);

    const routing_table &m_routes;
    const upstream_directory &m_directory;
    flow_placement &m_placement;
    upstream_health &m_health;
    latency_exchange &m_latencies;
    forwarder_settings m_settings;
    flow_table m_flowTable;
    request_watch_list m_requestsInProgress;
    /// Requests that are not old enough to be stalled; due when they count as waiting and as
    /// stalled, the latter at their maxAge. Empty while hedging is off.
    request_watch_list m_possiblyStalled;
    std::vector<watched_request> m_stalledRequests; ///< in progress beyond that age
    answer_history m_answerHistory;                 ///< empty while hedging is off
    bool m_isStopping = false;
    hedge_budget m_hedgeBudget;
    opening_hedger m_hedger; ///< enabled if and only if m_hedgeBudget is
    overload_check m_isOverloaded;
    std::uint64_t m_hedgesRefused = 0; ///< by the budget
    admission_controller m_admission;
    refused_openings m_refusedOpenings;
    duplicate_openings m_duplicateOpenings;
    std::vector<tag_correction> m_corrections; ///< not yet taken
    monotonic_time m_lastAnswerAt {0};         ///< of any upstream
    /// When an open flow's packets last began to arrive here. The fabric moves many flows at once,
    /// so answers to earlier requests may be acknowledged through another instance.
    monotonic_time m_lastTakeoverAt {0};
};

} // namespace chicoryhead
