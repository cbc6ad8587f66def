/**
 * @file admission_controller_base.h
 * Refuses a fraction of the new flows of services that get more requests than they can run.
 */

#pragma once

#include "core/core_type.h"
#include "overload_detector_base.h"
#include "policy/traffic_policy_type.h"
#include "routing/routing_base.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace chicoryhead {

/** Limits of admission control. */
struct admission_settings
{
    overload_settings overload;
    /// Largest refused fraction of a priority, so that none is starved.
    double maxFraction = 0.9;
    /// Growth of the refused fraction per interval if the delay is at least 1.5 times the
    /// threshold.
    double maxGrowth = 0.3;
    /// Factor on the level after an interval without delay. During a long overload such intervals
    /// occur, and starting from 0 again would fill the upstreams' queues. Nothing is refused while
    /// the latest answers show no delay, whatever the level is.
    double calmLevelFactor = 0.25;
    /// A level that is below this without delay becomes 0.
    double minLevel = 0.1;
    /// If refusing as much as possible for this long does not reduce the delay, the load is not its
    /// cause: the service became slower.
    monotonic_time maxFullRefusal = std::chrono::seconds(10);
};

/** Load of a service as this instance observes it. */
struct service_load
{
    bool isOverloaded = false;
    monotonic_time queueingDelay {0};
    double refusedFraction = 0; ///< of the lowest priority, which is refused most
};

/** Decides for each new flow whether its service can take it. */
class admission_controller
{
public:
    /** @param routes the configuration, which has the priorities of each service. */
    explicit admission_controller(const routing_table &routes, admission_settings settings = {})
        : m_routes(routes), m_settings(settings)
    {
    }

    /** Turns refusals on or off. The load is observed in any case. */
    void setPolicy(const admission_policy &policy);

    /** Records the latency of an answered request. */
    void recordLatency(const std::string &service, monotonic_time latency,
                       monotonic_time targetLatency, monotonic_time now);

    /** Records that a request has been in progress for the time `age`. */
    void recordInProgress(const std::string &service, monotonic_time age,
                          monotonic_time targetLatency, monotonic_time now);

    /** Discards all samples, also of requests from before, as the process was suspended. */
    void noteResumed(monotonic_time now);

    /** Whether the requests of a service wait for too long. */
    bool isOverloaded(const std::string &service, monotonic_time now) const;

    /** Decides about a new flow; counts it. */
    bool admits(const std::string &service, unsigned priority, monotonic_time now);

    service_load loadOf(const std::string &service, monotonic_time now) const;

    /** Number of overloaded services. */
    std::size_t countOverloaded(monotonic_time now) const;

    /** Highest refused fraction of all services. */
    double highestFraction(monotonic_time now) const;

private:
    /// Rounds the number of refusals to the nearest integer. If credits started at 0, an instance
    /// with few new flows would begin to refuse late.
    static constexpr double initialCredit = 0.5;

    /** State of one service. */
    struct service_state
    {
        explicit service_state(const overload_settings &settings) : detector(settings) { }

        overload_detector detector;
        /// Sum of the refused fractions of all priorities; from 0 to their number times
        /// maxFraction.
        double level = 0;
        monotonic_time fullSince {0}; ///< when `level` reached its maximum; 0 if it is below
        /// By priority: accumulated fraction of a refusal; at 1 the next flow is refused. Unlike
        /// random numbers this refuses no caller by chance many times in a row. Starts at
        /// initialCredit when the level rises from 0.
        std::map<unsigned, double> credits;

        void clearLevel()
        {
            level = 0;
            credits.clear();
            fullSince = monotonic_time {0};
        }
    };

    service_state &stateOf(const std::string &service);
    void updateLevel(const std::string &service, service_state &state, monotonic_time now);
    double fractionOf(const service_state &state, std::size_t lowerPriorities,
                      monotonic_time now) const;
    const std::set<unsigned> &prioritiesOf(const std::string &service);

    const routing_table &m_routes;
    admission_settings m_settings;
    admission_policy m_policy;
    std::map<std::string, service_state> m_services;
    std::map<std::string, std::set<unsigned>> m_priorities; ///< by service
    config_version m_prioritiesVersion = 0; ///< configuration that m_priorities is from
    monotonic_time m_resumedAt {0};
};

} // namespace chicoryhead
