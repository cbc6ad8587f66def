/**
 * @file placement/placement_base.h
 * Interface for the selection of upstreams for new flows.
 *
 * An instance sees only the packets that callers send, so it infers the state of upstreams from
 * them: a retransmitted opening packet means that the first one was not answered, a packet with a
 * steering tag means that it was.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "flow_count_base.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace chicoryhead {

/** Selects upstreams for new flows, based on the outcome of earlier ones. */
class flow_placement : public upstream_listener
{
public:
    /**
     * Selects an upstream for a flow that is being opened.
     * @param tried upstreams that did not answer this flow's opening packet; they are selected only
     * if there is no other.
     * @return std::nullopt if the service has no upstream that takes new flows.
     */
    virtual std::optional<upstream_id>
    choose(const std::string &service, std::span<const upstream_id> tried, monotonic_time now) = 0;

    /**
     * Selects an upstream for a second copy of a flow's opening packet. Unlike choose(), it returns
     * none that was tried, is missing, is suspected or is behind a suspected path.
     */
    virtual std::optional<upstream_id> chooseUnsuspected(const std::string &service,
                                                         std::span<const upstream_id> tried,
                                                         monotonic_time now) = 0;

    /**
     * Turns the limit on this instance's flows at an upstream on; null turns it off.
     * @param counts number of flows by upstream; must outlive the placement.
     */
    virtual void setFlowCount(const flow_count *counts) = 0;

    /** Whether an upstream of a service gets no new flows because that limit is reached. */
    virtual bool hasReachedConnectionLimit(const std::string &service) const = 0;

    /** Whether an upstream is in the failure domain of this instance. */
    virtual bool isLocal(upstream_id upstream) const = 0;

    /** Whether a service has an upstream that takes new flows and is not suspected. */
    virtual bool hasUnsuspected(const std::string &service, monotonic_time now) const = 0;

    /** An upstream did not answer an opening packet; returns whether it is newly suspected. */
    virtual bool recordConnectFailure(upstream_id upstream, monotonic_time now) = 0;

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    virtual bool recordConnectSuccess(upstream_id upstream) = 0;

    /**
     * A request has been unanswered for the time `age`.
     * @return whether that is longer than the upstream's average latency, and counts.
     */
    virtual bool recordUnansweredRequest(upstream_id upstream, monotonic_time age,
                                         monotonic_time now) = 0;

    /** An upstream answered a request after the time `latency`. */
    virtual void recordLatency(upstream_id upstream, monotonic_time latency,
                               monotonic_time now) = 0;

    /**
     * Other instances reported that an upstream does not answer; it is avoided for some time.
     * @param isDead it answers no instance, so it is avoided even if most upstreams are.
     */
    virtual void markSuspected(upstream_id upstream, bool isDead, monotonic_time now) = 0;

    /**
     * Whether an upstream, or the path to its failure domain, left an opening packet unanswered
     * lately and has answered none since.
     */
    virtual bool isUnreliable(upstream_id upstream, monotonic_time now) const = 0;

    /** Number of upstreams that are currently suspected, for metrics. */
    virtual std::size_t countSuspected(monotonic_time now) const = 0;
};

} // namespace chicoryhead
