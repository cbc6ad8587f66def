/**
 * @file invariant_check.h
 * The invariants that a soak checks while it runs, from what callers, upstreams and routers see.
 */

#pragma once

#include "standin/deployment_standin.h"

#include <asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::soak {

/** What must hold whatever happens. */
enum class invariant : std::uint8_t {
    OpenFlow, ///< an open flow goes on while its upstream lives
    Service,  ///< no packet reaches an upstream of another service
    Drain,    ///< no new flow reaches an upstream that leaves after the bound
    Config,   ///< a configuration is in force within the bound and never goes back
    Recovery, ///< flows open again within the bound after all faults ended
    Stop,     ///< a process ends when it is told to, in time, and only then
};

inline constexpr std::array<std::string_view, 6> invariantNames {"open_flow", "service",  "drain",
                                                                 "config",    "recovery", "stop"};

/** Name of a invariant. */
std::string_view toString(invariant value);

/** A invariant that was broken. */
struct violation
{
    invariant broken;
    std::string text;
};

/** Bounds of the invariants; those of the platform's deployments. */
struct invariant_bounds
{
    monotonic_time config = std::chrono::seconds(3);
    monotonic_time drain = std::chrono::seconds(3);
    monotonic_time grace = std::chrono::seconds(6);
    monotonic_time recovery = std::chrono::seconds(12);
    /// A machine counts when nothing has disturbed it for this long.
    monotonic_time settleTime = std::chrono::seconds(4);
    /// The checks themselves look twice per second.
    monotonic_time slack = std::chrono::milliseconds(600);
};

/** Watches a deployment. */
class invariant_check : public standin::deployment_observer
{
public:
    explicit invariant_check(asio::io_context &context) : m_context(context) { }

    /** Watches a deployment from now on; it must outlive the checks. */
    void watch(standin::deployment_standin &deployment);

    /** Looks at processes, pages and windows; called twice per second. */
    void tick();

    /** The store or the way to it is disturbed for all instances, or not any more. */
    void setStoreStable(bool isStable);

    /** An instance is disturbed from outside. */
    void recordDisturbance(std::size_t instance);

    /** A configuration with a version was put in the store. */
    void recordConfig(config_version version);

    /** An upstream announced in the store that it leaves. */
    void recordDrain(const std::string &upstream, monotonic_time at);

    /** A process was told to stop. */
    void recordStop(std::size_t instance);

    /** A paused process goes on; it could not react while it was paused. */
    void recordResume(std::size_t instance);

    /** A process was killed. */
    void recordKill(std::size_t instance);

    /** Whether the process ended since the last look; the instance can be started again. */
    bool takeExit(std::size_t instance);

    /** Occasions on which each invariant could have been seen broken. */
    const std::array<std::uint64_t, invariantNames.size()> &checkCounts() const
    {
        return m_checkCounts;
    }

    const std::vector<violation> &violations() const { return m_violations; }
    std::uint64_t opened() const { return m_opened; }
    std::uint64_t notOpened() const { return m_notOpened; }

    void onOpeningPacket(const std::string &upstream, const flow_key &flow) override;
    void onForeignPacket(const std::string &upstream, const flow_key &flow) override;
    void onOpened(const flow_key &flow, const std::string &upstream) override;
    void onNotOpened(const flow_key &flow, bool isRefused) override;
    void onAnswered(const flow_key &flow, const std::string &upstream,
                    monotonic_time latency) override;
    void onBroken(const flow_key &flow, const std::string &upstream,
                  const std::string &reason) override;

private:
    /** What is known of one instance's process. */
    struct watched_process
    {
        std::unique_ptr<http_connection> statusConnection;
        config_version version = 0; ///< last one seen in the process
        pid_t process = 0;
        monotonic_time disturbedAt {0};
        monotonic_time stopRequestedAt {0}; ///< when it was told to stop; 0 for not
        bool isKilled = false;
        bool hasExited = false;
    };

    /** A configuration that has to be in force by now or soon. */
    struct expected_config
    {
        config_version version = 0;
        monotonic_time at {0};
    };

    /** How attempts to open flows ended in one second. */
    struct opening_window
    {
        monotonic_time at {0};
        unsigned opened = 0;
        unsigned notOpened = 0;
    };

    void report(invariant broken, const std::string &text);
    void countCheck(invariant checked);
    void countDrainChecks();
    void checkProcess(std::size_t index);
    void requestVersion(std::size_t index);
    void checkVersion(std::size_t index, config_version version);
    void checkRecovery();
    bool wasUndisturbed(const watched_process &process, monotonic_time since) const;
    bool wasStoreStable(monotonic_time since) const;
    opening_window &currentWindow();

    asio::io_context &m_context;
    standin::deployment_standin *m_deployment = nullptr; ///< set by watch()
    invariant_bounds m_bounds;
    std::vector<watched_process> m_processes;
    std::vector<violation> m_violations;
    std::array<std::uint64_t, invariantNames.size()> m_checkCounts {};
    std::map<std::string, monotonic_time> m_drainStarts; ///< since when, by upstream
    std::set<std::string> m_countedDrains;               ///< as occasions
    std::deque<expected_config> m_expectedConfigs;
    std::deque<opening_window> m_windows;
    std::optional<monotonic_time> m_storeStableSince = monotonic_time {0};
    monotonic_time m_disturbedAt {0}; ///< last disturbance of any kind
    std::uint64_t m_opened = 0;
    std::uint64_t m_notOpened = 0;
};

} // namespace chicoryhead::soak
