/**
 * @file instance_pages.cpp
 * Reads and decodes the JSON status pages of instances.
 */

#include "instance_pages.h"

#include "argument.h"
#include "entry/status_documents.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace chicoryhead {

namespace {

using nlohmann::json;

result<std::string> readPage(const command_call &call, const instance_registration &instance,
                             std::string_view path)
{
    const endpoint server {instance.peerAddress.address,
                           static_cast<std::uint16_t>(FLAGS_pages_port)};
    return call.environment.pages.get(server, std::string(path));
}

std::optional<instance_page> readInstancePage(const command_call &call,
                                              const instance_registration &instance)
{
    const auto body = readPage(call, instance, instancePath);
    if (!body)
        return std::nullopt;
    try {
        const json fields = json::parse(body.value());
        return instance_page {fields.at("state"), fields.at("version"), fields.at("state_age_ms"),
                              fields.at("reads_store"), fields.at("flows_observed")};
    } catch (const json::exception &problem) {
        warn(call, instance.name + ": " + problem.what());
        return std::nullopt;
    }
}

} // namespace

std::vector<instance_registration> registeredInstances(const fleet_changes &fleet)
{
    std::vector<instance_registration> registrations;
    for (const fleet_change &change : fleet.changes) {
        if (const auto *registration = std::get_if<instance_registration>(&change))
            registrations.push_back(*registration);
    }
    std::sort(registrations.begin(), registrations.end(),
              [](const auto &a, const auto &b) { return a.name < b.name; });
    return registrations;
}

result<std::vector<instance_row>> readInstances(const command_call &call, operator_store &store)
{
    const auto fleet = store.readFleet();
    if (!fleet)
        return fleet.error();
    std::vector<instance_row> rows;
    for (instance_registration &registration : registeredInstances(fleet.value())) {
        auto page = readInstancePage(call, registration);
        rows.push_back({std::move(registration), std::move(page)});
    }
    return rows;
}

config_version readVersionInForce(const command_call &call, operator_store &store)
{
    const auto fleet = store.readFleet();
    if (!fleet)
        return 0;
    config_version highest = 0;
    std::set<std::string> answered;
    for (const fleet_change &change : fleet.value().changes) {
        const auto *registration = std::get_if<instance_registration>(&change);
        if (registration == nullptr || answered.contains(registration->domain))
            continue;
        const auto page = readInstancePage(call, *registration);
        if (!page)
            continue;
        answered.insert(registration->domain);
        highest = std::max(highest, page->version);
    }
    return highest;
}

result<std::vector<upstream_row>> readUpstreamPage(const command_call &call,
                                                   const instance_registration &instance)
{
    const auto body = readPage(call, instance, upstreamsPath);
    if (!body)
        return body.error();
    std::vector<upstream_row> rows;
    try {
        const json document = json::parse(body.value());
        for (const json &fields : document.at("upstreams"))
            rows.push_back({fields.at("service"), fields.at("name"), fields.at("standing"),
                            fields.at("suspected"), fields.at("latency_us"), fields.at("flows"),
                            fields.value("domain", ""), fields.value("verdict", ""),
                            fields.value("evacuated", false)});
    } catch (const json::exception &) {
        return error::Malformed;
    }
    return rows;
}

} // namespace chicoryhead
