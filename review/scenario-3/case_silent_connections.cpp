/**
 * @file case_silent_connections.cpp
 * The instances that read the store are lost some time after idle connections went silent.
 */

#include "cases.h"
#include "store_front.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr unsigned frontKind = 4;
constexpr std::uint16_t frontPort = 8169;
/// More than `contact_ms`, after which the machines are in touch again.
constexpr std::chrono::milliseconds calmTime {10000};
/// `config_apply_ms` of the settings, in s.
constexpr double configBound = 3;

bool readsStore(fleet &deployment, const node &instance)
{
    const auto page =
        nlohmann::json::parse(deployment.readPage(instance, "/v1/instance"), nullptr, false);
    return page.is_object() && page.value("reads_store", false);
}

} // namespace

case_outcome runSilentConnections(const fleet_plan &plan, recorder &record, bool hasTrouble)
{
    fleet deployment(plan, record);
    std::vector<std::unique_ptr<store_front>> fronts;
    for (const auto &instance : deployment.nodes()) {
        instance->store = deployment.address(frontKind, instance->number, frontPort);
        fronts.push_back(std::make_unique<store_front>(deployment.context(), instance->store,
                                                       deployment.store().address()));
    }
    deployment.putConfig({{0, "service-0"}, {1, "service-0"}});
    for (unsigned i = 0; i < 6; ++i)
        deployment.addBackend("i-0000000c" + std::to_string(10 + i), "service-0", i % plan.zones,
                              {0, 1, 2});
    if (!deployment.startAll())
        return case_outcome::NotRun;
    deployment.runFor(10000ms);
    if (hasTrouble) {
        record.report("idle connections to the store go silent; new ones work");
        for (const auto &instance : deployment.nodes()) {
            if (!readsStore(deployment, *instance))
                fronts[instance->number]->silenceOpenConnections();
        }
    }
    deployment.runFor(calmTime);
    std::vector<node *> readers;
    for (const auto &instance : deployment.nodes()) {
        if (readsStore(deployment, *instance))
            readers.push_back(instance.get());
    }
    record.report(std::to_string(readers.size()) + " of "
                  + std::to_string(deployment.nodes().size())
                  + " instances read the store; they are lost");
    for (node *reader : readers) {
        deployment.signal(*reader, SIGKILL);
        deployment.isRunning(*reader);
    }
    deployment.runFor(200ms);
    const double changedAt = record.seconds();
    record.report("the operator drops route 1 and adds route 2");
    deployment.putConfig({{0, "service-0"}, {2, "service-0"}});
    for (int i = 0; i < 100; ++i) {
        for (unsigned zone = 0; zone < plan.zones; ++zone) {
            for (const unsigned number : {0U, 1U, 2U})
                deployment.open(zone, number, 1, 100ms);
        }
        deployment.runFor(100ms);
    }
    deployment.runFor(2000ms);

    unsigned late = 0;
    unsigned kept = 0;
    double latest = 0;
    for (const auto &[flow, seen] : deployment.flows()) {
        const double since = seen.startedAt - changedAt;
        if (seen.backend.empty() || since < 0)
            continue;
        kept += flow.service == deployment.routeAddress(0) ? 1 : 0;
        if (flow.service != deployment.routeAddress(1))
            continue;
        latest = std::max(latest, since);
        late += since > configBound ? 1 : 0;
    }
    record.report(std::to_string(late)
                  + " flows run on the dropped route more than 3 s after the acknowledgement; the "
                    "last one was opened "
                  + std::to_string(latest) + " s after it; " + std::to_string(kept)
                  + " flows on the kept route were served");
    if (kept == 0 || readers.empty() || readers.size() == deployment.nodes().size())
        return case_outcome::NotRun;
    return late > 0 ? case_outcome::Broken : case_outcome::Held;
}

} // namespace chicoryhead::review
