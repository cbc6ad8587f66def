/**
 * @file test_restored_store.cpp
 * Instances as processes with a store that is restored from a copy: its revisions go back and are
 * given out again.
 */

#include "http/http_connection_base.h"
#include "standin/deployment_standin.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

/** Ignores what callers observe. */
class silent_observer : public standin::deployment_observer
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

/** A deployment of three instances in one failure domain. */
class restored_deployment
{
public:
    restored_deployment()
    {
        std::filesystem::create_directories(m_folder);
        standin::deployment_plan plan;
        plan.program = CHICORYHEAD_ENTRY_PROGRAM;
        plan.folder = m_folder;
        plan.slot = slot;
        plan.domains = 1;
        plan.instancesPerDomain = 3;
        plan.upstreamsPerDomain = 4;
        plan.services = 1;
        m_deployment.emplace(m_context, plan, m_observer);
        m_deployment->start();
    }
    ~restored_deployment()
    {
        m_deployment.reset();
        std::filesystem::remove_all(m_folder);
    }
    restored_deployment(const restored_deployment &) = delete;
    restored_deployment &operator=(const restored_deployment &) = delete;

    standin::deployment_standin &deployment() { return *m_deployment; }

    void runFor(std::chrono::milliseconds duration)
    {
        m_context.restart();
        m_context.run_for(duration);
    }

    /// Reads a status document of an instance; null if it does not answer within a second.
    nlohmann::json readPage(const standin::deployed_instance &instance, const char *path)
    {
        const auto server = instance.program->settings().statusAddress;
        http_connection connection(m_context, server, toString(server));
        std::optional<result<http_response>> response;
        connection.start({"GET", path, {}, 1000ms},
                         [&](result<http_response> received) { response = std::move(received); });
        m_context.restart();
        while (!response)
            m_context.run_one_for(20ms);
        return *response ? nlohmann::json::parse(response->value().body, nullptr, false)
                         : nlohmann::json();
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
    static constexpr unsigned slot = 98; ///< not used by the demo or the soak

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("chicoryhead-restored-" + std::to_string(::getpid()));
    asio::io_context m_context {1};
    silent_observer m_observer;
    std::optional<standin::deployment_standin> m_deployment;
};

} // namespace

TEST_CASE("Changes made after the store was restored are in force within the bound", "[restore]")
{
    // Guards against instances that compare revisions of the restored store with revisions from
    // before: they discard its state, or take another state for their own.
    restored_deployment restored;
    auto &deployment = restored.deployment();
    auto &store = deployment.store();
    const auto upstream = deployment.upstreamsOf(0).front();
    REQUIRE(restored.awaitInForce(10s, deployment.config().version, upstream, "ready"));
    const auto copy = store.copy();
    constexpr int lostChanges = 4;
    for (int i = 0; i < lostChanges; ++i)
        deployment.putConfig();
    REQUIRE(restored.awaitInForce(3s, deployment.config().version, upstream, "ready"));

    // The new revisions end below, at, or above the last one from before.
    const int newChanges = GENERATE(2, 4, 6);
    CAPTURE(newChanges);
    store.setBehaviour(standin::store_behaviour::Busy);
    restored.runFor(500ms);
    store.restore(copy);
    deployment.drainUpstream(upstream);
    for (int i = 1; i < newChanges; ++i)
        deployment.putConfig();
    store.setBehaviour(standin::store_behaviour::Serving);
    // The bound for changes, and the time that the platform allows after a fault of the store.
    CHECK(restored.awaitInForce(3s + 4s, deployment.config().version, upstream, "draining"));
}
