/**
 * @file invariant_check.h
 * Invariants that a soak checks while it runs, based on what callers, upstreams and routers
 * observe.
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

/** Properties that must hold under any faults. */
enum class invariant : std::uint8_t {
    OpenFlow, ///< an open flow continues as long as its upstream is alive
    Service,  ///< no packet reaches an upstream of another service
    Drain,    ///< no new flow reaches a draining upstream after the time bound
    Config,   ///< a configuration takes effect within the bound and is never rolled back
    Recovery, ///< flows can be opened again within the bound after the last fault
    Stop,     ///< a process exits within the grace period when told to, and only then
};

inline constexpr std::array<std::string_view, 6> invariantNames {"open_flow", "service",  "drain",
                                                                 "config",    "recovery", "stop"};

std::string_view toString(invariant value);

/** A violated invariant. */
struct violation
{
    invariant broken;
    std::string text;
};

/** Time bounds of the invariants, the same as in the platform's deployments. */
struct invariant_bounds
{
    monotonic_time config = std::chrono::seconds(3);
    monotonic_time drain = std::chrono::seconds(3);
    monotonic_time grace = std::chrono::seconds(6);
    monotonic_time recovery = std::chrono::seconds(12);
    /// An instance is checked only after nothing has disturbed it for this long.
    monotonic_time settleTime = std::chrono::seconds(4);
    /// Allowance for the interval of the checks, which run twice per second.
    monotonic_time slack = std::chrono::milliseconds(600);
};

/** Checks the invariants of a deployment. */
class invariant_check : public standin::deployment_observer
{
public:
    explicit invariant_check(asio::io_context &context) : m_context(context) { }

    /** Starts checking a deployment, which must outlive this object. */
    void watch(standin::deployment_standin &deployment);

    /** Checks processes, status documents and opening windows; called twice per second. */
    void tick();

    /** Records whether the store is undisturbed and at least one instance can reach it. */
    void setStoreStable(bool isStable);

    /** Records an external disturbance of an instance. */
    void recordDisturbance(std::size_t instance);

    /** Records that a configuration with this version was written to the store. */
    void recordConfig(config_version version);

    /** Records that an upstream announced in the store that it is draining. */
    void recordDrain(const std::string &upstream, monotonic_time at);

    /** Records until when an upstream is cut off. */
    void recordCut(const std::string &upstream, monotonic_time until);

    /** Records that a process was told to stop. */
    void recordStop(std::size_t instance);

    /** Records that a paused process was resumed; a pending stop gets a new grace period, because
     * the process could not react while it was paused. */
    void recordResume(std::size_t instance);

    /** Records that a process was killed. */
    void recordKill(std::size_t instance);

    /** Whether the process exited since the last call; if so, the instance can be restarted. */
    bool takeExit(std::size_t instance);

    /** How often each invariant was checked under conditions in which a violation would show. */
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
    /** State of one instance's process. */
    struct watched_process
    {
        std::unique_ptr<http_connection> statusConnection;
        config_version version = 0; ///< last one reported by the process
        pid_t process = 0;
        monotonic_time disturbedAt {0};
        monotonic_time stopRequestedAt {0}; ///< 0 if it was not told to stop
        bool isKilled = false;
        bool hasExited = false;
    };

    /** A configuration that must be in effect once its bound has passed. */
    struct expected_config
    {
        config_version version = 0;
        monotonic_time at {0};
    };

    /** Results of attempts to open flows within one second. */
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
    std::map<std::string, monotonic_time> m_drainStarts; ///< by upstream
    std::map<std::string, monotonic_time> m_cutEnds;     ///< end of the last cut, by upstream
    std::set<std::string> m_countedDrains;               ///< upstreams included in m_checkCounts
    std::deque<expected_config> m_expectedConfigs;
    std::deque<opening_window> m_windows;
    std::optional<monotonic_time> m_storeStableSince = monotonic_time {0};
    monotonic_time m_disturbedAt {0}; ///< last disturbance of any kind
    std::uint64_t m_opened = 0;
    std::uint64_t m_notOpened = 0;
};

} // namespace chicoryhead::soak
