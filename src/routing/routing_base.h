/**
 * @file routing_base.h
 * Which service the new flows of a service address go to.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryhead {

/** One of the services that share the new flows of a route. */
struct route_target
{
    std::string service;
    unsigned weight = 1; ///< share of new flows relative to the other targets

    bool operator==(const route_target &) const = default;
};

/** A service address and where its new flows go. */
struct route
{
    std::string name;
    endpoint address;                  ///< that callers open flows to
    std::vector<route_target> targets; ///< never empty
    monotonic_time targetLatency {0};  ///< within which a request should be answered
    monotonic_time timeout {0};        ///< after which a request is given up
    unsigned priority = 0;             ///< 0 is highest
    bool isIdempotent = false;         ///< callers may repeat its requests

    bool operator==(const route &) const = default;
};

/** One version of the operators' configuration. */
struct routing_config
{
    config_version version = 0;
    std::vector<route> routes;
    monotonic_time idleTimeout {0}; ///< flows that are idle longer may be discarded
    std::size_t unusableRoutes = 0; ///< left out when it was decoded; not passed on
};

/** The configuration in force; its version never goes down. */
class routing_table
{
public:
    /**
     * Puts a configuration in force.
     * @return false if its version is not above the one in force; nothing changes then.
     */
    bool apply(routing_config config, monotonic_time now);

    /** The route of a service address; null when there is none. */
    const route *find(const endpoint &address) const;

    /**
     * Selects a target of a route by weight.
     * @param hash of the flow, so that all copies of its opening packet get the same service.
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
