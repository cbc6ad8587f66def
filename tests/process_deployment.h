/**
 * @file process_deployment.h
 * A small deployment whose instances run as processes, for tests of what all of them must do.
 */

#pragma once

#include "http/http_connection_base.h"
#include "standin/deployment_standin.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

namespace chicoryhead::test {

/// Slots for the test cases, which run at the same time; the demo and the soak use lower ones.
inline constexpr unsigned restoredStoreSlot = 98;
inline constexpr unsigned malformedEntriesSlot = 97;
inline constexpr unsigned fullUpstreamSlot = 96;
inline constexpr unsigned shortCutSlot = 95;

using namespace std::chrono_literals;

/** Ignores what callers observe. */
class ignoring_observer : public standin::deployment_observer
{
public:
    void onOpeningPacket(const std::string & /*upstream*/, const flow_key & /*flow*/) override { }
    void onForeignPacket(const std::string & /*upstream*/, const flow_key & /*flow*/) override { }
    void onOpened(const flow_key & /*flow*/, const std::string & /*upstream*/) override { }
    void onNotOpened(const flow_key & /*flow*/, bool /*isRefused*/) override { }
    void onAnswered(const flow_key & /*flow*/, const std::string & /*upstream*/,
                    monotonic_time /*latency*/) override
    {
    }
    void onBroken(const flow_key & /*flow*/, const std::string & /*upstream*/,
                  const std::string & /*reason*/) override
    {
    }
};

/** Three instances of one failure domain as processes, with stand-ins of everything around them. */
class process_deployment
{
public:
    /** @param slot of its loopback addresses; tests that run at the same time use different ones.
     */
    explicit process_deployment(unsigned slot) { start(slot, 1, m_ignoringObserver); }

    /**
     * @param services number of services, with four upstreams each.
     * @param observer must outlive the deployment.
     */
    process_deployment(unsigned slot, unsigned services, standin::deployment_observer &observer)
    {
        start(slot, services, observer);
    }
    ~process_deployment()
    {
        m_deployment.reset();
        std::filesystem::remove_all(m_folder);
    }
    process_deployment(const process_deployment &) = delete;
    process_deployment &operator=(const process_deployment &) = delete;

    standin::deployment_standin &deployment() { return *m_deployment; }

    void runFor(std::chrono::milliseconds duration)
    {
        m_context.restart();
        m_context.run_for(duration);
    }

    /// Reads a page of an instance; empty if it does not answer within a second.
    std::string readText(const standin::deployed_instance &instance, const char *path)
    {
        const auto server = instance.program->settings().statusAddress;
        http_connection connection(m_context, server, toString(server));
        std::optional<result<http_response>> response;
        connection.start({"GET", path, {}, 1000ms},
                         [&](result<http_response> received) { response = std::move(received); });
        m_context.restart();
        while (!response)
            m_context.run_one_for(20ms);
        return *response ? response->value().body : std::string();
    }

    /// Reads a status document of an instance; null if it does not answer within a second.
    nlohmann::json readPage(const standin::deployed_instance &instance, const char *path)
    {
        return nlohmann::json::parse(readText(instance, path), nullptr, false);
    }

    /// Whether an instance has a version in force and an upstream in a lifecycle state.
    bool isInForce(const standin::deployed_instance &instance, config_version version,
                   const std::string &upstream, const std::string &lifecycle)
    {
        const auto status = readPage(instance, "/v1/instance");
        if (!status.is_object() || status["version"] != version)
            return false;
        const auto upstreams = readPage(instance, "/v1/upstreams");
        for (const auto &row : upstreams["upstreams"]) {
            if (row["name"] == upstream)
                return row["standing"] == lifecycle;
        }
        return false;
    }

    /// Runs until all instances have a version in force and an upstream in a lifecycle state.
    bool awaitInForce(std::chrono::milliseconds timeout, config_version version,
                      const std::string &upstream, const std::string &lifecycle)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        const auto &instances = m_deployment->instances();
        do {
            runFor(50ms);
            const bool isEverywhere =
                std::all_of(instances.begin(), instances.end(), [&](const auto &instance) {
                    return isInForce(instance, version, upstream, lifecycle);
                });
            if (isEverywhere)
                return true;
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

private:
    void start(unsigned slot, unsigned services, standin::deployment_observer &observer)
    {
        std::filesystem::create_directories(m_folder);
        standin::deployment_plan plan;
        plan.program = CHICORYHEAD_ENTRY_PROGRAM;
        plan.folder = m_folder;
        plan.slot = slot;
        plan.domains = 1;
        plan.instancesPerDomain = 3;
        plan.upstreamsPerDomain = 4;
        plan.services = services;
        m_deployment.emplace(m_context, plan, observer);
        m_deployment->start();
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("chicoryhead-processes-" + std::to_string(::getpid()));
    asio::io_context m_context {1};
    ignoring_observer m_ignoringObserver;
    std::optional<standin::deployment_standin> m_deployment;
};

} // namespace chicoryhead::test
