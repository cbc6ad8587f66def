/**
 * @file case_addresses.cpp
 * The store gets another address while its connections are in use.
 */

#include "cases.h"
#include "store_front.h"

#include <csignal>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr unsigned frontKind = 4;
constexpr std::uint16_t frontPort = 8169;
/// Time for which the former address still serves.
constexpr std::chrono::milliseconds overlap {10000};
/// `config_apply_ms` and `max_stretch_ms` of the settings, in s.
constexpr double configBound = 3;
constexpr double maxStretch = 12;

} // namespace

case_outcome runAddresses(const fleet_plan &plan, recorder &record, bool hasTrouble)
{
    fleet deployment(plan, record);
    store_front former(deployment.context(), deployment.address(frontKind, 0, frontPort),
                       deployment.store().address());
    store_front current(deployment.context(), deployment.address(frontKind, 1, frontPort),
                        deployment.store().address());
    for (const auto &instance : deployment.nodes())
        instance->store = deployment.address(frontKind, 0, frontPort);
    deployment.putConfig({{0, "service-0"}, {1, "service-0"}});
    for (unsigned i = 0; i < 4; ++i)
        deployment.addBackend("i-0000000a" + std::to_string(10 + i), "service-0", i % plan.zones,
                              {0, 1, 2});
    if (!deployment.startAll())
        return case_outcome::NotRun;
    deployment.runFor(8000ms);
    if (hasTrouble) {
        for (const auto &instance : deployment.nodes())
            instance->store = deployment.address(frontKind, 1, frontPort);
        record.report("the settings give the store's new address; SIGHUP to half of the "
                      "instances");
    }
    deployment.writeSettings();
    for (std::size_t i = 0; i < deployment.nodes().size() / 2; ++i)
        deployment.signal(*deployment.nodes()[i], SIGHUP);
    deployment.runFor(overlap);
    if (hasTrouble) {
        record.report("the former address answers 503 from now on");
        former.refuse();
    }
    deployment.runFor(6000ms);
    const double changedAt = record.seconds();
    record.report("the operator drops route 1 and adds route 2");
    deployment.putConfig({{0, "service-0"}, {2, "service-0"}});
    for (int i = 0; i < 120; ++i) {
        for (unsigned zone = 0; zone < plan.zones; ++zone) {
            for (const unsigned number : {0U, 1U, 2U})
                deployment.open(zone, number, 1, 100ms);
        }
        deployment.runFor(250ms);
    }
    deployment.runFor(2000ms);

    unsigned late = 0;
    unsigned afterStretch = 0;
    unsigned notOpened = 0;
    unsigned kept = 0;
    for (const auto &[flow, seen] : deployment.flows()) {
        const double since = seen.startedAt - changedAt;
        const bool isOpened = !seen.backend.empty();
        if (flow.service == deployment.routeAddress(0) && isOpened)
            ++kept;
        if (flow.service == deployment.routeAddress(1) && isOpened && since > configBound) {
            ++late;
            afterStretch += since > configBound + maxStretch ? 1 : 0;
        }
        if (flow.service == deployment.routeAddress(2) && !isOpened && since > configBound)
            ++notOpened;
    }
    record.report("requests at the former address: " + std::to_string(former.requestsRelayed())
                  + " relayed, " + std::to_string(former.requestsRefused())
                  + " refused; at the new one: " + std::to_string(current.requestsRelayed()));
    record.report(std::to_string(late)
                  + " flows run on the dropped route more than 3 s after the "
                    "acknowledgement, "
                  + std::to_string(afterStretch) + " of them after 15 s; "
                  + std::to_string(notOpened) + " flows on the added route were not served; "
                  + std::to_string(kept) + " on the kept route were");
    if (kept == 0)
        return case_outcome::NotRun;
    return late > 0 ? case_outcome::Broken : case_outcome::Held;
}

} // namespace chicoryhead::review
