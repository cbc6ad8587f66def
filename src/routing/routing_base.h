/**
 * @file routing_base.h
 * Routes from service addresses to services.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryhead {

/** One of the services that the new flows of a route are split between. */
struct route_target
{
    std::string service;
    unsigned weight = 1; ///< share of new flows relative to the other targets

    bool operator==(const route_target &) const = default;
};

/** A service address and the services that its new flows go to. */
struct route
{
    std::string name;
    endpoint address;                  ///< service address that callers open flows to
    std::vector<route_target> targets; ///< never empty
    monotonic_time targetLatency {0};  ///< latency within which a request should be answered
    monotonic_time timeout {0};        ///< time after which a request is aborted
    unsigned priority = 0;             ///< 0 is the highest
    bool isIdempotent = false;         ///< callers may repeat its requests

    bool operator==(const route &) const = default;
};

/** One version of the operators' configuration. */
struct routing_config
{
    config_version version = 0;
    std::vector<route> routes;
    monotonic_time idleTimeout {0}; ///< flows that are idle for longer may be discarded
    /// Requests per second that an upstream takes while it is warming up, by service; services that
    /// are not in it have no limit.
    std::map<std::string, double> warmupRates;
    /// Connections that one upstream takes, by service; services that are not in it have no limit.
    std::map<std::string, std::uint32_t> maxConnections;
    std::size_t unusableRoutes = 0; ///< omitted by the decoder; not passed on to other instances
};

/** The configuration in effect; its version never decreases. */
class routing_table
{
public:
    /**
     * Applies a configuration.
     * @return false if it is not newer than the one in effect, which is then kept; one of the same
     * version adds connection limits that are not known yet.
     */
    bool apply(routing_config config, monotonic_time now);

    /** The route of a service address; null if there is none. */
    const route *find(const endpoint &address) const;

    /**
     * Selects a target of a route by weight.
     * @param hash hash of the flow, so that retransmissions of its opening packet get the same
     * service.
     */
    static const std::string &selectService(const route &selected, flow_hash hash);

    const routing_config &config() const { return m_config; }
    config_version version() const { return m_config.version; }
    monotonic_time appliedAt() const { return m_appliedAt; }

private:
    routing_config m_config;
    std::map<endpoint, std::size_t> m_byAddress; ///< indexes into m_config.routes
    monotonic_time m_appliedAt {0};
};

} // namespace chicoryhead
