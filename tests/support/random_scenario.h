/**
 * @file random_scenario.h
 * Random interleavings of planned changes and faults over a deployment in virtual time, each
 * determined by its seed.
 */

#pragma once

#include "deployment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead::test {

/** Which faults a scenario may combine. */
enum class scenario_class : std::uint8_t {
    Ordinary, ///< everything that the design claims to survive
    Limits,   ///< adds a failure domain that is cut off for minutes while slots change
    Deflect,  ///< upstreams hide their flows in load reports, so that they are deflected at times
};

/** Name of a class on the command line of chicoryhead_seeds. */
std::string_view toString(scenario_class kind);

/** What a scenario showed. */
struct scenario_result
{
    std::uint64_t seed = 0;
    scenario_class kind = scenario_class::Ordinary;
    std::vector<std::string> violations; ///< empty when all invariants held
    std::vector<std::string> events;     ///< last ones, oldest first
    deployment_counts counts;
    double controlBytesPerSecond = 0; ///< mean over the instances

    /** Command that runs the scenario again. */
    std::string command() const;
    /** Seed, command, violations and the last events. */
    std::string report(std::size_t eventCount) const;
};

/**
 * Runs the scenario of a seed: 60 s to 120 s of random events, then 45 s without faults.
 * @param tracedFlow flow whose packets are noted among the events.
 */
scenario_result runScenario(std::uint64_t seed, scenario_class kind,
                            std::optional<std::uint64_t> tracedFlow = std::nullopt);

} // namespace chicoryhead::test
