/**
 * @file deployment_observer.h
 * What stand-ins of upstreams and callers see, for whoever checks it.
 */

#pragma once

#include "core/core_type.h"

#include <string>

namespace chicoryhead::standin {

/** Told of events in the order in which they happen. */
class deployment_observer
{
public:
    virtual ~deployment_observer() = default;

    /** An upstream received the opening packet of a flow. */
    virtual void onOpeningPacket(const std::string &upstream, const flow_key &flow) = 0;

    /** An upstream received a packet of a service address that is not its own. */
    virtual void onForeignPacket(const std::string &upstream, const flow_key &flow) = 0;

    /** A caller opened a flow. */
    virtual void onOpened(const flow_key &flow, const std::string &upstream) = 0;

    /** A caller's attempt to open a flow ended without one. */
    virtual void onNotOpened(const flow_key &flow, bool isRefused) = 0;

    /** An upstream answered a request. */
    virtual void onAnswered(const flow_key &flow, const std::string &upstream,
                            monotonic_time latency) = 0;

    /** An open flow ended before its caller ended it. */
    virtual void onBroken(const flow_key &flow, const std::string &upstream,
                          const std::string &reason) = 0;
};

} // namespace chicoryhead::standin
