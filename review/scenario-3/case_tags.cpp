/**
 * @file case_tags.cpp
 * A rolling restart after the arrival of a backend whose name has the steering tag of another one.
 */

#include "cases.h"

#include <csignal>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr unsigned flowsPerZone = 12;
/// Time between the stops of two instances, as on the days with `roll_term`.
constexpr std::chrono::milliseconds stopInterval {2000};

/// Restarts the instances in turn: SIGTERM, and a start when the process has ended.
void restartInTurn(fleet &deployment)
{
    for (const auto &instance : deployment.nodes()) {
        deployment.signal(*instance, SIGTERM);
        for (int i = 0; i < 60 && deployment.isRunning(*instance); ++i)
            deployment.runFor(100ms);
        deployment.start(*instance);
        for (int i = 0; i < 50 && !deployment.areAllReady(); ++i)
            deployment.runFor(100ms);
        deployment.runFor(stopInterval);
    }
}

} // namespace

case_outcome runTags(const fleet_plan &plan, recorder &record, bool hasTrouble)
{
    fleet deployment(plan, record);
    deployment.putConfig({{0, "service-0"}});
    // The low 32 bits of XXH3 are the same for the first name and the one that is added later.
    deployment.addBackend("i-bb835cbc98", "service-0", 0, {0});
    deployment.addBackend("i-51d0c2a7e4", "service-0", 0, {0});
    deployment.addBackend("i-0f6c93b815", "service-0", 1, {0});
    deployment.addBackend("i-c47a10de62", "service-0", 1, {0});
    if (!deployment.startAll())
        return case_outcome::NotRun;
    deployment.runFor(1000ms);
    for (unsigned zone = 0; zone < plan.zones; ++zone) {
        for (unsigned i = 0; i < flowsPerZone; ++i)
            deployment.open(zone, 0, 400, 250ms);
    }
    deployment.runFor(3000ms);
    deployment.addBackend("i-6a4fb9806b", "service-0", 0, {0});
    deployment.runFor(6000ms);
    if (hasTrouble) {
        record.report("the instances are stopped and started in turn");
        restartInTurn(deployment);
    } else {
        deployment.runFor(15000ms);
    }
    unsigned opened = 0;
    unsigned broken = 0;
    for (const auto &[flow, seen] : deployment.flows()) {
        opened += seen.backend.empty() ? 0 : 1;
        for (const auto &server : deployment.backends()) {
            const bool isOwn = server->announced().name == seen.backend;
            if (isOwn && seen.broken == "reset" && server->holds(flow) && server->resetsSent() == 0)
                ++broken;
        }
    }
    for (const auto &server : deployment.backends())
        record.report("backend " + server->announced().name + " took "
                      + std::to_string(server->openings().size()) + " flows and sent "
                      + std::to_string(server->resetsSent()) + " resets of flows it doesn't hold");
    record.report(std::to_string(opened) + " flows opened, " + std::to_string(broken)
                  + " reset although their backend holds them and sent no reset");
    if (opened < flowsPerZone)
        return case_outcome::NotRun;
    return broken > 0 ? case_outcome::Broken : case_outcome::Held;
}

} // namespace chicoryhead::review
