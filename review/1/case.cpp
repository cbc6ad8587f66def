/**
 * @file case.cpp
 * FLOW: many callers connect at once, until the upstreams of a service are full.
 */

#include "scenario.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned sessions = 0; ///< service whose callers keep flows open
constexpr unsigned steady = 1;   ///< service with continuous requests
constexpr std::size_t maxConnections = 3200;
constexpr std::size_t sessionUpstreams = 2;
constexpr auto connectTime = 8s;     ///< in which the callers of the sessions connect
constexpr double connectsPerS = 680; ///< 85% of the capacity in that time
constexpr double burstFactor = 1.7;  ///< of the burst at the end of it
constexpr auto burstTime = 3s;

int play(const scenario_arguments &arguments)
{
    scenario_plan plan;
    plan.services = 2;
    plan.maxConnections = maxConnections;
    plan.contactMs = 5000;
    plan.boundMs = 5000;
    scenario played(plan, arguments);
    played.putConfig();
    for (std::size_t i = 0; i < sessionUpstreams; ++i) {
        played.addUpstream(sessions, 0);
    }
    played.addUpstream(steady, 0);
    for (std::size_t i = 0; i < played.instances().size(); ++i)
        played.startInstance(i);
    if (!played.awaitReady(10s))
        return exitNotRun;
    played.run(5s);

    constexpr unsigned requestsWithoutEnd = 1000000;
    for (int i = 0; i < 30; ++i)
        played.open(steady, 0, requestsWithoutEnd, 100ms);
    played.run(1s);

    played.record("the upstreams hold " + std::to_string(maxConnections * sessionUpstreams)
                  + " flows");
    const auto end = played.now() + connectTime;
    monotonic_time nextAt = played.now();
    std::size_t attempts = 0;
    played.run(connectTime, [&] {
        const bool isBurst = played.hasTrouble() && played.now() >= end - burstTime;
        const double rate = isBurst ? connectsPerS * burstFactor : connectsPerS;
        while (nextAt <= played.now()) {
            nextAt += monotonic_time(static_cast<monotonic_time::rep>(1e6 / rate));
            ++attempts;
            played.open(sessions, 0, 1);
        }
    });
    played.record("callers tried to open " + std::to_string(attempts) + " flows");
    played.run(4s);

    std::size_t openFlows = 0;
    std::size_t resets = 0;
    for (const auto &flow : played.flows()) {
        if (flow->key.service != played.serviceAddress(sessions) || !flow->isOpen)
            continue;
        ++openFlows;
        if (!flow->isReset)
            continue;
        const auto *holder = played.findUpstream(flow->upstream);
        if (!holder->resetFlows.contains(flow->key) && holder->flows.contains(flow->key))
            ++resets;
    }
    std::size_t unanswered = 0;
    for (const auto &served : played.upstreams())
        unanswered += served->refused;
    const std::string outcome = std::to_string(openFlows) + " flows were open, "
        + std::to_string(resets) + " of them were reset, though their upstream holds them; "
        + std::to_string(unanswered) + " opening packets reached a full upstream";
    played.record(outcome);
    std::cout << outcome << '\n';
    if (openFlows == 0)
        return exitNotRun;
    return resets > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return play(parseArguments(argc, argv));
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return exitNotRun;
    }
}
