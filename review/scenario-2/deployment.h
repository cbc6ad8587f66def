/**
 * @file deployment.h
 * Entry instances as processes, with the platform's routers and store on loopback.
 */

#pragma once

#include "http/http_connection_base.h"
#include "record.h"
#include "standin/store_standin.h"
#include "standin/tcp_proxy.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead::review {

/** Bounds of a deployment, as in the settings file. */
struct deployment_bounds
{
    unsigned contactMs = 4000;
    unsigned drainMs = 3000;
    unsigned configMs = 3000;
};

/** Addresses of a deployment: free ports on loopback addresses of its own. */
class address_plan
{
public:
    address_plan();

    endpoint instance(unsigned number, std::uint16_t port) const { return make(1, number, port); }
    endpoint upstream(unsigned number) const { return make(2, number, upstreamPort()); }
    endpoint caller() const { return make(3, 0, dataPort()); }
    endpoint store() const { return make(4, 0, storePort()); }

    std::uint16_t dataPort() const { return m_firstPort; }
    std::uint16_t statusPort() const { return m_firstPort + 1; }
    std::uint16_t peerPort() const { return m_firstPort + 2; }
    std::uint16_t storePort() const { return m_firstPort + 3; }
    std::uint16_t upstreamPort() const { return m_firstPort + 4; }
    std::uint16_t metricsPort() const { return m_firstPort + 5; }

private:
    endpoint make(unsigned kind, unsigned number, std::uint16_t port) const
    {
        return {(127U << 24U) | (m_subnet << 16U) | (kind << 8U) | (number + 1), port};
    }

    std::uint32_t m_subnet = 0;
    std::uint16_t m_firstPort = 0;
};

/** One entry process with the routers' view of it. */
struct instance
{
    std::string name;
    std::string domain;
    unsigned number = 0;
    pid_t process = 0; ///< 0 while none runs
    bool isStopping = false;
    unsigned failedChecks = 2;                      ///< in a row; not in rotation at first
    monotonic_time disturbedAt {0};                 ///< of its last signal or start
    std::unique_ptr<standin::tcp_proxy> storeProxy; ///< between it and the store
    std::unique_ptr<http_connection> check;
};

/** The instances of a deployment. */
class deployment
{
public:
    /**
     * @param program executable of an instance.
     * @param folder temporary folder for settings and logs.
     */
    deployment(asio::io_context &context, const address_plan &addresses, std::string program,
               std::string folder, const deployment_bounds &bounds, record &log);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    void add(const std::string &domain);
    void start(instance &started);
    void stop(instance &stopped, int signal);

    /** Notices processes that ended. */
    void reap();

    /** Checks the readiness of all instances, as the routers do twice a second. */
    void checkReadiness();

    bool isInRotation(const instance &checked) const { return checked.failedChecks < 2; }
    bool areAllReady() const;

    /** Whether the instance with a data address got no signal and was not started lately. */
    bool isUndisturbed(const endpoint &address, monotonic_time since) const;

    /** The instance that a packet of a flow goes to; std::nullopt without instances. */
    std::optional<endpoint> route(const std::string &domain, const flow_key &flow) const;

    std::vector<std::unique_ptr<instance>> &instances() { return m_instances; }

private:
    void writeSettings(const instance &configured) const;

    asio::io_context &m_context;
    const address_plan &m_addresses;
    std::string m_program;
    std::string m_folder;
    deployment_bounds m_bounds;
    record &m_log;
    std::vector<std::unique_ptr<instance>> m_instances;
};

} // namespace chicoryhead::review
