/**
 * @file case_lost_answers.cpp
 * A rolling restart while answers to opening packets are lost now and then.
 */

#include "cases.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

/// One opening answer of so many is lost.
constexpr unsigned lossInterval = 100;
/// Time between the stops of two instances, as on the days with `roll_term`.
constexpr double stopInterval = 1.2;
constexpr double duration = 45;
/// `flow_reorder_ms` of the settings, and the packets at other backends that break the rule.
constexpr double reorderTime = 2;
constexpr unsigned maxForeignPackets = 2;

/** A packet of a flow; whether it reached the backend that the flow is open at. */
using packet_arrival = std::pair<double, bool>;

/// Stops the next instance if the former one is back, and starts those that have ended.
void restartInTurn(fleet &deployment, std::size_t &next, double &stoppedAt, double now)
{
    for (const auto &instance : deployment.nodes()) {
        if (!deployment.isRunning(*instance))
            deployment.start(*instance);
    }
    if (now < stoppedAt + stopInterval || !deployment.areAllReady())
        return;
    stoppedAt = now;
    deployment.signal(*deployment.nodes()[next], SIGTERM);
    // Of the other zone, as the bench draws them at random.
    next = (next + 3) % deployment.nodes().size();
}

/**
 * Whether for reorderTime three packets reached other backends and none the own one.
 * @param endsAt when the flow ended.
 */
bool isBroken(std::vector<packet_arrival> &arrivals, double endsAt)
{
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t first = 0; first < arrivals.size(); ++first) {
        unsigned foreign = 0;
        std::size_t i = first;
        while (i < arrivals.size() && !arrivals[i].second
               && arrivals[i].first <= arrivals[first].first + reorderTime) {
            ++foreign;
            ++i;
        }
        const double nextOwnAt = i < arrivals.size() ? arrivals[i].first : endsAt;
        if (foreign > maxForeignPackets && nextOwnAt > arrivals[first].first + reorderTime)
            return true;
    }
    return false;
}

} // namespace

case_outcome runLostAnswers(const fleet_plan &plan, recorder &record, bool hasTrouble)
{
    fleet deployment(plan, record);
    deployment.putConfig({{0, "service-0"}});
    for (unsigned i = 0; i < 8; ++i)
        deployment.addBackend("i-0000000d" + std::to_string(10 + i), "service-0", i % plan.zones,
                              {0});
    if (!deployment.startAll())
        return case_outcome::NotRun;
    deployment.runFor(5000ms);
    for (const auto &server : deployment.backends())
        server->loseOpeningAnswers(hasTrouble ? lossInterval : 0);
    record.report("the instances are stopped and started in turn");
    const double begin = record.seconds();
    std::size_t next = 0;
    double stoppedAt = 0;
    while (record.seconds() < begin + duration) {
        for (unsigned zone = 0; zone < plan.zones; ++zone) {
            for (unsigned i = 0; i < 4; ++i)
                deployment.open(zone, 0, 12, 400ms);
        }
        deployment.runFor(50ms);
        restartInTurn(deployment, next, stoppedAt, record.seconds());
    }
    deployment.runFor(8000ms);

    std::map<flow_key, std::vector<packet_arrival>> arrivals;
    unsigned lost = 0;
    unsigned sent = 0;
    for (const auto &server : deployment.backends()) {
        lost += server->answersLost();
        sent += server->datagramsSent();
        for (const auto &arrived : server->arrivals()) {
            const auto flow = deployment.flows().find(arrived.flow);
            if (flow != deployment.flows().end() && !flow->second.backend.empty())
                arrivals[arrived.flow].emplace_back(
                    arrived.at, flow->second.backend == server->announced().name);
        }
    }
    unsigned broken = 0;
    for (auto &[flow, packets] : arrivals) {
        const flow_record &seen = deployment.flows().at(flow);
        if (!isBroken(packets, seen.isEnded ? seen.brokenAt : record.seconds()))
            continue;
        ++broken;
        record.report("flow " + toString(flow) + ", open at " + seen.backend
                      + ": three or more packets in 2 s reached other backends, none its own");
    }
    record.report(std::to_string(lost) + " opening answers lost, of " + std::to_string(sent + lost)
                  + " datagrams of the backends; " + std::to_string(broken) + " of "
                  + std::to_string(arrivals.size()) + " flows broken");
    if (arrivals.empty() || (hasTrouble && lost == 0))
        return case_outcome::NotRun;
    return broken > 0 ? case_outcome::Broken : case_outcome::Held;
}

} // namespace chicoryhead::review
