/**
 * @file case.cpp
 * FLOW: many callers of one domain connect at once, until its upstreams of a service are full.
 * Those of the other domain have room.
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
constexpr std::size_t upstreamsPerDomain = 2;
constexpr auto openInterval = 1ms;
/// Share of the domain's capacity that is used without the burst, and the attempts with it.
constexpr double usualLoad = 0.8;
constexpr double burstLoad = 1.15;

int play(const char *folder)
{
    scenario_plan plan;
    plan.domains = 2;
    plan.services = 2;
    plan.maxConnections = maxConnections;
    plan.boundMs = 5000;
    scenario played(plan, folder);
    played.putConfig();
    for (std::size_t i = 0; i < upstreamsPerDomain; ++i) {
        played.addUpstream(sessions, 0);
        played.addUpstream(sessions, 1);
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

    const double load = played.hasTrouble() ? burstLoad : usualLoad;
    const auto attempts =
        static_cast<std::size_t>(load * static_cast<double>(maxConnections * upstreamsPerDomain));
    played.record("callers open " + std::to_string(attempts)
                  + " flows; the upstreams of their domain hold "
                  + std::to_string(maxConnections * upstreamsPerDomain)
                  + ", those of the other domain as many");
    std::size_t opened = 0;
    auto nextAt = played.now();
    while (opened < attempts) {
        played.run(5ms, [&] {
            while (opened < attempts && nextAt <= played.now()) {
                nextAt += openInterval;
                ++opened;
                played.open(sessions, 0, 0);
            }
        });
    }
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
        return play(argc > 1 ? argv[1] : ".");
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return exitNotRun;
    }
}
