/**
 * @file deployment_standin.h
 * A small deployment on loopback: instances run as processes; the store, routers, upstreams and
 * callers are simulated in this process.
 */

#pragma once

#include "caller_standin.h"
#include "deployment_observer.h"
#include "entry_program.h"
#include "http/http_connection_base.h"
#include "seeded_random.h"
#include "store_standin.h"
#include "system/system_base.h"
#include "tcp_proxy.h"
#include "upstream_standin.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicoryhead::standin {

/** Time after a disruption of an upstream in which its flows may be reset. */
inline constexpr std::chrono::seconds disruptionWindow {4};

/** Size, files and addresses of a deployment. */
struct deployment_plan
{
    std::filesystem::path program;    ///< executable of an instance
    std::filesystem::path folder;     ///< directory for settings and logs
    std::filesystem::path policyPath; ///< policy file of all instances; empty for none
    unsigned slot = 1;                ///< second octet of its loopback addresses, 1 to 99
    unsigned domains = 3;
    unsigned instancesPerDomain = 2;
    unsigned upstreamsPerDomain = 2; ///< for each service
    unsigned services = 2;
    std::uint64_t seed = 1;
};

/** An instance process with its store proxy and its health state. */
struct deployed_instance
{
    std::unique_ptr<entry_program> program;
    std::unique_ptr<tcp_proxy> storeProxy;      ///< between the instance and the store
    std::unique_ptr<http_connection> readiness; ///< the routers' readiness checks
    unsigned failedChecks = 2;                  ///< in a row; not in rotation at first
    bool isPaused = false;
    monotonic_time healthySince {0}; ///< ready and not paused since then; 0 while it is not
};

/** A deployment; all handlers run on the given io_context. */
class deployment_standin
{
public:
    deployment_standin(asio::io_context &context, deployment_plan plan,
                       deployment_observer &observer);

    /** Starts all instances, the callers' timers and the readiness checks. */
    void start();

    /** Address at which callers reach a service. */
    endpoint serviceAddress(unsigned service) const;

    /** Writes the configuration to the store with a higher version; returns the version. */
    config_version putConfig();

    const deployment_plan &plan() const { return m_plan; }

    /** The operator and the upstreams write again what the store lacks after a restore. */
    void rewriteLost();

    /** Removes the announcements of upstreams that have stopped. */
    void expireAnnouncements();

    /** The configuration that was written last. */
    const routing_config &config() const { return m_config; }

    /** Starts an upstream and writes its announcement to the store; returns its name. */
    std::string addUpstream(unsigned service, unsigned domain);

    /** Announces that an upstream is draining. */
    void drainUpstream(const std::string &name);

    /** Stops an upstream at once, without withdrawing it; its flows get no more answers. */
    void endUpstream(const std::string &name);

    /** Removes the announcement of an upstream from the store. */
    void withdrawUpstream(const std::string &name);

    /** Finds an upstream by name; null if it has been stopped. */
    upstream_standin *findUpstream(const std::string &name) const;

    std::vector<std::string> upstreamsOf(unsigned service) const;

    std::vector<deployed_instance> &instances() { return m_instances; }
    std::vector<std::unique_ptr<caller_standin>> &callers() { return m_callers; }
    store_standin &store() { return *m_store; }
    random_source &random() { return m_random; }
    const clock_source &clock() const { return m_clock; }
    std::string domainName(unsigned domain) const { return "d" + std::to_string(domain); }

    /** Whether an instance of the caller's domain has been healthy since the given time. */
    bool hadHealthyInstance(const flow_key &flow, monotonic_time since) const;

    /** The instance that the last packet of a flow was routed to; null if there is none. */
    const deployed_instance *lastInstance(const flow_key &flow) const;

    /** Drops all packets of callers, to verify that an outage is detected. */
    void disableRouters() { m_areRoutersDisabled = true; }

    /** Cancels the timers, so that the io_context runs out of work. */
    void stop();

private:
    endpoint address(unsigned kind, std::size_t number, std::uint16_t port) const;
    entry_settings settingsOf(unsigned domain, std::size_t number) const;
    void addInstance(unsigned domain);
    void writeConfig();
    void announce(const upstream_standin &upstream);
    std::optional<endpoint> route(unsigned domain, const flow_key &flow);
    bool isInRotation(const deployed_instance &instance) const;
    void scheduleTick();
    void scheduleChecks();
    void check(deployed_instance &instance);
    void recordCheck(deployed_instance &instance, bool isReady);

    asio::io_context &m_context;
    deployment_plan m_plan;
    deployment_observer &m_observer;
    boot_clock_source m_clock;
    seeded_random m_random;
    std::unique_ptr<store_standin> m_store;
    routing_config m_config;
    std::vector<deployed_instance> m_instances;
    std::vector<std::unique_ptr<upstream_standin>> m_upstreams;
    std::vector<std::unique_ptr<caller_standin>> m_callers; ///< one per domain
    asio::steady_timer m_tick;
    asio::steady_timer m_checks;
    std::size_t m_upstreamsAdded = 0;
    std::map<flow_key, const deployed_instance *> m_lastInstances;
    bool m_areRoutersDisabled = false;
    bool m_isStopping = false;
};

} // namespace chicoryhead::standin
