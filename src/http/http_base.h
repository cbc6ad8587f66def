/**
 * @file http_base.h
 * What the operators' HTTP interface needs from an instance.
 */

#pragma once

#include <functional>
#include <string>
#include <system_error>

namespace chicoryhead {

/** Outcome of an operator's call that may need the store. */
struct operator_outcome
{
    std::error_code code; ///< decides the HTTP status, see httpStatus()
    std::string document; ///< JSON body; when empty, an error document is made from the code
};

/** Takes the outcome of a call; called exactly once, from the thread of the HTTP server. */
using operator_handler = std::function<void(const operator_outcome &)>;

/** One instance as its operators see it. Every function is called from the server's thread. */
class operator_api
{
public:
    virtual ~operator_api() = default;

    /** The configuration in force, as JSON. */
    virtual std::string configDocument() const = 0;

    /** The members that this instance knows, as JSON; see renderInstances(). */
    virtual std::string instancesDocument() const = 0;

    /** Upstreams with their mode, condition and load, as JSON; see renderUpstreams(). */
    virtual std::string upstreamsDocument() const = 0;

    /** Flows that this instance holds, as JSON; see renderFlows(). */
    virtual std::string flowsDocument() const = 0;

    /** Metrics in the Prometheus text format. */
    virtual std::string metricsText() const = 0;

    /** Reads the audit trail. Errors: error::StoreUnavailable, error::Timeout. */
    virtual void readAudit(operator_handler handler) = 0;

    /**
     * Submits a patch.
     * @param body JSON document of the patch.
     * @param handler gets success, error::Malformed, error::ValidationFailed,
     * error::VersionConflict, error::StoreUnavailable or error::OutcomeUnknown.
     */
    virtual void submitPatch(const std::string &body, operator_handler handler) = 0;

    /** Whether the process works; if not, it has to be replaced. */
    virtual bool isLive() const = 0;

    /** Whether the fabric may send packets to this instance. */
    virtual bool isReady() const = 0;
};

} // namespace chicoryhead
