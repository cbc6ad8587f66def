/**
 * @file deployment_observer.h
 * Interface for events of simulated upstreams and callers.
 */

#pragma once

#include "core/core_type.h"

#include <string>

namespace chicoryhead::standin {

/** Receives events in the order in which they occur. */
class deployment_observer
{
public:
    virtual ~deployment_observer() = default;

    /** An upstream received the opening packet of a flow. */
    virtual void onOpeningPacket(const std::string &upstream, const flow_key &flow) = 0;

    /** An upstream received a packet for a service address that it does not serve. */
    virtual void onForeignPacket(const std::string &upstream, const flow_key &flow) = 0;

    /** A caller opened a flow. */
    virtual void onOpened(const flow_key &flow, const std::string &upstream) = 0;

    /** An attempt to open a flow was refused with a reset, or timed out. */
    virtual void onNotOpened(const flow_key &flow, bool isRefused) = 0;

    /** A caller received the answer to a request. */
    virtual void onAnswered(const flow_key &flow, const std::string &upstream,
                            monotonic_time latency) = 0;

    /** An open flow broke before its caller closed it. */
    virtual void onBroken(const flow_key &flow, const std::string &upstream,
                          const std::string &reason) = 0;
};

} // namespace chicoryhead::standin
