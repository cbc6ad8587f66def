/**
 * @file placement/placement_base.h
 * Which upstream a new flow goes to.
 *
 * An instance sees the packets of callers only, so it judges upstreams by what callers do: a copy
 * of an opening packet means that the first one was not answered, a packet that carries a steering
 * tag means that it was.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace chicoryhead {

/** Chooses upstreams for new flows and learns from how they turn out. */
class flow_placement : public upstream_listener
{
public:
    /**
     * Chooses an upstream for a flow that is being opened.
     * @param tried upstreams that did not answer this flow; they are chosen only if no other is
     * left.
     * @return nothing if the service has no upstream that may get new flows.
     */
    virtual std::optional<upstream_id>
    choose(const std::string &service, std::span<const upstream_id> tried, monotonic_time now) = 0;

    /** An upstream did not answer an opening packet; returns whether it is avoided only now. */
    virtual bool recordConnectFailure(upstream_id upstream, monotonic_time now) = 0;

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    virtual bool recordConnectSuccess(upstream_id upstream) = 0;

    /** A caller gave up a request after some time without an answer. */
    virtual void recordAbortedRequest(upstream_id upstream, monotonic_time age,
                                      monotonic_time now) = 0;

    /** An upstream answered a request after some time. */
    virtual void recordLatency(upstream_id upstream, monotonic_time latency,
                               monotonic_time now) = 0;

    /** Other instances found that an upstream does not answer; it is avoided for a while. */
    virtual void markSuspected(upstream_id upstream, bool isDead, monotonic_time now) = 0;

    /** Upstreams that are avoided at this time, for metrics. */
    virtual std::size_t countSuspected(monotonic_time now) const = 0;
};

} // namespace chicoryhead
