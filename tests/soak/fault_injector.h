/**
 * @file fault_injector.h
 * Injects faults and planned maintenance into one soak, chosen pseudo-randomly from its seed.
 */

#pragma once

#include "invariant_check.h"
#include "standin/deployment_standin.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::soak {

/** Chooses faults at random, injects and clears them. Faults come in sequence and may overlap. */
class fault_injector
{
public:
    fault_injector(standin::deployment_standin &deployment, invariant_check &check,
                   std::uint64_t seed, std::ostream &log);

    /** Runs the callbacks and faults that are due; called several times per second. */
    void tick();

    /** Stops injecting faults and clears those still active. */
    void end();

    /** Injects a fault of the test deployment itself, which violates the given invariant. */
    void breakInvariant(invariant broken);

private:
    using action = void (fault_injector::*)();

    unsigned draw(unsigned below) { return static_cast<unsigned>(m_random.next() % below); }
    monotonic_time drawTime(unsigned fromMs, unsigned toMs);
    monotonic_time drawRestart(std::size_t index);
    unsigned drawDomain() { return draw(m_deployment.plan().domains); }
    std::size_t drawInstance() { return draw(static_cast<unsigned>(instances().size())); }
    std::vector<standin::deployed_instance> &instances() { return m_deployment.instances(); }
    void schedule(monotonic_time after, std::function<void()> callback);
    void logEvent(const std::string &text);

    void pauseInstance();
    void resume(std::size_t index);
    void killInstance();
    void kill(std::size_t index);
    void killAll();
    void stopInstance();
    void restartExited();
    void disturbStoreConnection();
    void disturbStore();
    void dropHistory();
    void restoreStore();
    void beginRestore(const standin::store_copy &copy, monotonic_time outage);
    void endRestore(const standin::store_copy &copy);
    void reloadSettings();
    /** Chooses an upstream that may be removed; empty if the service has too few left. */
    std::string drawUpstream(unsigned service);
    void drainUpstream();
    void crashUpstream();
    void disturbUpstream();
    void cutUpstream(const std::string &name, monotonic_time duration);
    void fillUpstream(const std::string &name, monotonic_time duration);
    void changeConfig();
    void startPlannedMaintenance();
    void updateStoreStability();

    standin::deployment_standin &m_deployment;
    invariant_check &m_check;
    standin::seeded_random m_seedSource; ///< seeds each fault separately, so that the sequence of
                                         ///< faults of a seed does not depend on timing
    standin::seeded_random m_random;     ///< for the current fault
    std::vector<standin::seeded_random> m_restartRandom; ///< for restart delays, by instance
    standin::seeded_random m_upstreamRandom;             ///< for upstreams cut off or full
    std::ostream &m_log;
    monotonic_time m_startedAt;
    monotonic_time m_nextFault; ///< scheduled time; the fault may be injected slightly later
    monotonic_time m_nextUpstreamFault;
    std::multimap<monotonic_time, std::function<void()>> m_scheduled;
    std::map<std::size_t, monotonic_time> m_restartTimes; ///< of exited processes, by instance
    bool m_hasEnded = false;
    bool m_isStoreDisturbed = false;
};

} // namespace chicoryhead::soak
