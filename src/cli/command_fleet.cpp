/**
 * @file command_fleet.cpp
 * Commands about instances and upstreams.
 */

#include "argument.h"
#include "command.h"
#include "instance_pages.h"
#include "text_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <tuple>
#include <utility>

namespace chicoryhead {

namespace {

/// Whether a row belongs to the service that was named, if one was.
bool isSelected(const command_call &call, const std::string &service)
{
    return call.operands.empty() || call.operands[0] == service;
}

std::string formatLatency(std::uint64_t microseconds)
{
    if (microseconds == 0)
        return "-";
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << static_cast<double>(microseconds) / 1000;
    return text.str();
}

exit_code listInstances(const command_call &call, std::vector<instance_row> &instances)
{
    const auto store = openStore(call);
    if (store == nullptr)
        return exit_code::Usage;
    auto listed = readInstances(call, *store);
    if (!listed)
        return failStore(call, listed.error());
    instances = std::move(listed.value());
    return exit_code::Done;
}

} // namespace

exit_code runInstances(const command_call &call)
{
    std::vector<instance_row> instances;
    if (const auto code = listInstances(call, instances); code != exit_code::Done)
        return code;
    text_table table(
        {"INSTANCE", "DOMAIN", "ADDRESS", "STATE", "VERSION", "AGE_MS", "READER", "FLOWS"});
    for (const instance_row &row : instances) {
        const auto &registered = row.registration;
        if (row.page)
            table.addRow({registered.name, registered.domain, toString(registered.peerAddress),
                          row.page->state, std::to_string(row.page->version),
                          std::to_string(row.page->stateAgeMs), row.page->readsStore ? "yes" : "no",
                          std::to_string(row.page->flows)});
        else
            table.addRow({registered.name, registered.domain, toString(registered.peerAddress),
                          "no answer", "-", "-", "-", "-"});
    }
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runUpstreams(const command_call &call)
{
    const auto store = openStore(call);
    if (store == nullptr)
        return exit_code::Usage;
    const auto fleet = store->readFleet();
    if (!fleet)
        return failStore(call, fleet.error());
    std::vector<upstream_announcement> rows;
    for (const fleet_change &change : fleet.value().changes) {
        const auto *announced = std::get_if<upstream_announcement>(&change);
        if (announced != nullptr && isSelected(call, announced->service))
            rows.push_back(*announced);
        const auto *withdrawn = std::get_if<upstream_withdrawal>(&change);
        if (withdrawn != nullptr && withdrawn->isMalformed)
            warn(call, "the announcement of " + withdrawn->name + " can't be read");
    }
    std::sort(rows.begin(), rows.end(), [](const auto &a, const auto &b) {
        return std::tie(a.service, a.domain, a.name) < std::tie(b.service, b.domain, b.name);
    });
    text_table table({"SERVICE", "UPSTREAM", "DOMAIN", "ADDRESS", "SLOTS", "STATE"});
    for (const upstream_announcement &row : rows)
        table.addRow({row.service, row.name, row.domain, toString(row.address),
                      std::to_string(row.slots), row.isDraining ? "draining" : "ready"});
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runFlows(const command_call &call)
{
    std::vector<instance_row> instances;
    if (const auto code = listInstances(call, instances); code != exit_code::Done)
        return code;
    text_table table(
        {"INSTANCE", "SERVICE", "UPSTREAM", "STANDING", "SUSPECTED", "LATENCY_MS", "FLOWS"});
    for (const instance_row &row : instances) {
        const auto upstreams = readUpstreamPage(call, row.registration);
        if (!upstreams) {
            warn(call, row.registration.name + ": " + upstreams.error().message());
            continue;
        }
        for (const upstream_row &upstream : upstreams.value()) {
            if (isSelected(call, upstream.service))
                table.addRow({row.registration.name, upstream.service, upstream.name,
                              upstream.standing, upstream.isSuspected ? "yes" : "no",
                              formatLatency(upstream.latencyUs), std::to_string(upstream.flows)});
        }
    }
    table.print(call.environment.out);
    return exit_code::Done;
}

} // namespace chicoryhead
