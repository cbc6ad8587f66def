/**
 * @file command_fleet.cpp
 * Commands that list instances, failure domains, upstreams and flows.
 */

#include "argument.h"
#include "command.h"
#include "instance_pages.h"
#include "text_table.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace chicoryhead {

namespace {

/// Returns whether the service matches the operand; without an operand every service matches.
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

/** Aggregated status of the instances of one failure domain. */
struct domain_summary
{
    std::size_t registered = 0;
    std::size_t ready = 0;
    std::size_t unresponsive = 0; ///< did not answer the status request
    std::size_t readers = 0;
    std::optional<config_version> oldest; ///< lowest version of the instances that answered
    config_version newest = 0;
    std::uint64_t maxAgeMs = 0;
    std::uint64_t flows = 0;
};

void accumulate(domain_summary &domain, const instance_row &row)
{
    ++domain.registered;
    if (!row.page) {
        ++domain.unresponsive;
        return;
    }
    domain.ready += row.page->state == "ready" ? 1 : 0;
    domain.readers += row.page->readsStore ? 1 : 0;
    domain.oldest = std::min(domain.oldest.value_or(row.page->version), row.page->version);
    domain.newest = std::max(domain.newest, row.page->version);
    domain.maxAgeMs = std::max(domain.maxAgeMs, row.page->stateAgeMs);
    domain.flows += row.page->flows;
}

/** Aggregated view of all instances of one upstream. */
struct upstream_summary
{
    std::string domain;
    std::set<std::string> standings; ///< may differ while a change propagates
    std::size_t knownTo = 0;
    std::size_t avoidedBy = 0;
    std::size_t silentTo = 0;
    std::size_t deadTo = 0;
    std::size_t stalledTo = 0;
};

void accumulate(upstream_summary &upstream, const upstream_row &row)
{
    upstream.domain = row.domain;
    upstream.standings.insert(row.standing);
    ++upstream.knownTo;
    upstream.avoidedBy += row.isSuspected ? 1 : 0;
    upstream.silentTo += row.verdict == "silent" ? 1 : 0;
    upstream.deadTo += row.verdict == "dead" ? 1 : 0;
    upstream.stalledTo += row.verdict == "stalled" ? 1 : 0;
}

} // namespace

exit_code runDomains(const command_call &call)
{
    std::vector<instance_row> instances;
    if (const auto code = listInstances(call, instances); code != exit_code::Done)
        return code;
    std::map<std::string, domain_summary> domains;
    for (const instance_row &row : instances)
        accumulate(domains[row.registration.domain], row);
    text_table table({"DOMAIN", "INSTANCES", "READY", "NO_ANSWER", "READERS", "VERSIONS",
                      "MAX_AGE_MS", "FLOWS"});
    for (const auto &[name, domain] : domains) {
        std::string versions = "-";
        if (domain.oldest)
            versions = *domain.oldest == domain.newest
                ? std::to_string(domain.newest)
                : std::to_string(*domain.oldest) + ".." + std::to_string(domain.newest);
        table.addRow({name, std::to_string(domain.registered), std::to_string(domain.ready),
                      std::to_string(domain.unresponsive), std::to_string(domain.readers), versions,
                      domain.oldest ? std::to_string(domain.maxAgeMs) : "-",
                      std::to_string(domain.flows)});
    }
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runUnhealthy(const command_call &call)
{
    std::vector<instance_row> instances;
    if (const auto code = listInstances(call, instances); code != exit_code::Done)
        return code;
    std::map<std::pair<std::string, std::string>, upstream_summary> upstreams;
    std::size_t answered = 0;
    for (const instance_row &row : instances) {
        const auto seen = readUpstreamPage(call, row.registration);
        if (!seen)
            continue;
        ++answered;
        for (const upstream_row &upstream : seen.value()) {
            if (isSelected(call, upstream.service))
                accumulate(upstreams[{upstream.service, upstream.name}], upstream);
        }
    }
    text_table table({"SERVICE", "UPSTREAM", "DOMAIN", "STANDING", "KNOWN_TO", "AVOIDED_BY",
                      "SILENT_TO", "DEAD_TO", "STALLED_TO"});
    for (const auto &[key, upstream] : upstreams) {
        if (upstream.avoidedBy + upstream.silentTo + upstream.deadTo + upstream.stalledTo > 0)
            table.addRow({key.first, key.second, upstream.domain, join(upstream.standings, ","),
                          std::to_string(upstream.knownTo), std::to_string(upstream.avoidedBy),
                          std::to_string(upstream.silentTo), std::to_string(upstream.deadTo),
                          std::to_string(upstream.stalledTo)});
    }
    table.print(call.environment.out);
    if (answered < instances.size())
        warn(call, std::to_string(instances.size() - answered) + " instances did not answer");
    return exit_code::Done;
}

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
    return withFleet(call, [&call](operator_store & /*store*/, const fleet_changes &fleet) {
        std::vector<upstream_announcement> rows;
        for (const fleet_change &change : fleet.changes) {
            const auto *announced = std::get_if<upstream_announcement>(&change);
            if (announced != nullptr && isSelected(call, announced->service))
                rows.push_back(*announced);
            const auto *withdrawn = std::get_if<upstream_withdrawal>(&change);
            if (withdrawn != nullptr && withdrawn->isMalformed)
                warn(call, "the announcement of " + withdrawn->name + " is malformed");
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
    });
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
