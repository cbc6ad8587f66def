/**
 * @file case.cpp
 * FLOW: an upstream loses its link for one second, after a rolling restart of the instances.
 */

#include "scenario.h"

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned requestsWithoutEnd = 1000000;
constexpr auto cutTime = 1000ms;
constexpr auto contactTime = 4000ms; ///< contact_ms

/// Stops and starts the instances in turn.
void restartInTurn(scenario &played)
{
    for (std::size_t i = 0; i < played.instances().size(); ++i) {
        played.signalInstance(i, SIGTERM);
        while (!played.hasEnded(i))
            played.run(20ms);
        played.startInstance(i);
        if (!played.awaitReady(5s))
            throw std::runtime_error("an instance does not become ready again");
    }
}

int play(const scenario_arguments &arguments)
{
    scenario played((scenario_plan()), arguments);
    played.putConfig();
    for (int i = 0; i < 4; ++i)
        played.addUpstream(0, 0);
    for (std::size_t i = 0; i < played.instances().size(); ++i)
        played.startInstance(i);
    if (!played.awaitReady(10s))
        return exitNotRun;
    played.run(4s);
    for (int i = 0; i < 60; ++i)
        played.open(0, 0, requestsWithoutEnd, 150ms);
    std::vector<caller_flow *> paused;
    for (int i = 0; i < 40; ++i)
        paused.push_back(&played.open(0, 0, 1));
    played.run(500ms);

    upstream &harmed = *played.upstreams().front();
    if (played.hasTrouble()) {
        restartInTurn(played);
        played.record("upstream " + harmed.announced.name + " is cut off");
        harmed.isCut = true;
        played.run(cutTime);
        harmed.isCut = false;
        played.record("upstream " + harmed.announced.name + " is reached again");
    }
    const auto judgedFrom = played.now() + contactTime;
    played.run(contactTime + 200ms);
    for (caller_flow *flow : paused) {
        if (flow->isOpen && !flow->isOver)
            played.request(*flow);
    }
    played.run(2s);

    unsigned resets = 0;
    for (const auto &flow : played.flows()) {
        if (!flow->isReset || flow->endedAt < judgedFrom)
            continue;
        const auto *holder = played.findUpstream(flow->upstream);
        if (!holder->resetFlows.contains(flow->key) && holder->flows.contains(flow->key))
            ++resets;
    }
    unsigned judged = 0;
    for (const caller_flow *flow : paused)
        judged += flow->isOpen && flow->upstream == harmed.announced.name ? 1 : 0;
    const std::string outcome = std::to_string(judged) + " paused flows at the upstream; "
        + std::to_string(resets)
        + " open flows were reset later than 4 s after the cut, though their upstream holds them";
    played.record(outcome);
    std::cout << outcome << '\n';
    if (judged == 0)
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
