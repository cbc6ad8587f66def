/**
 * @file balance_base.h
 * Interface between the health controller and the instance that carries out its probes.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <vector>

namespace chicoryhead {

/** What an upstream's health and load endpoint reported. */
struct load_report
{
    bool isHealthy = false;
    bool isShedding = false;
    std::uint32_t busySlots = 0; ///< requests being worked on
    std::uint32_t queued = 0;    ///< requests waiting
    std::uint32_t openFlows = 0; ///< connections held
    std::uint64_t startedAt = 0; ///< changes when the upstream restarts
    std::uint64_t sequence = 0;  ///< rises with each report; a frozen report repeats it
};

/** Events seen in the packets of an upstream's flows. */
enum class passive_signal : std::uint8_t {
    Refused,    ///< RST in answer to SYN
    Accepted,   ///< SYN-ACK, or the first reply of a UDP flow
    Unanswered, ///< SYN without an answer for 1 s
    Answered,   ///< first answer to a request
};

/** Asks upstreams for their load; implemented by the daemon and by fakes. */
class load_prober
{
public:
    virtual ~load_prober() = default;

    /** Starts a probe; its outcome comes back through the health controller's onReport(). */
    virtual void probe(upstream_id upstream, const endpoint &health) = 0;
};

/** Why an upstream's condition changed last. */
enum class condition_reason : std::uint8_t {
    Load,        ///< overloaded, shedding or not believable
    Unreachable, ///< neither reports nor replies arrive
    Cold,        ///< restarted; ramps up from the bottom when it is reopened
};

/** A change of an upstream's condition that is spread to other instances. */
struct upstream_notice
{
    upstream_id upstream = noUpstream;
    bool isDeflected = false;
    std::uint32_t incarnation = 0;
    condition_reason reason = condition_reason::Load;

    bool operator==(const upstream_notice &) const = default;
};

} // namespace chicoryhead
