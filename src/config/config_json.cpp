/**
 * @file config_json.cpp
 * Formatting of the operators' JSON documents.
 */

#include "config_json_func.h"

#include <nlohmann/json.hpp>

namespace chicoryhead {

namespace {

using json = nlohmann::ordered_json;

std::string dump(const json &document)
{
    // Invalid UTF-8 is replaced; the default would throw while answering an operator.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json limitsJson(const service_limits &limits)
{
    return {{"new_flows_per_second", limits.newFlowsPerSecond},
            {"max_flows", limits.maxFlows},
            {"retry_budget_percent", limits.retryBudgetPercent},
            {"retry_after_ms", limits.retryAfterMs}};
}

/** The keys of an upstream that an operator sets. */
json upstreamJson(const upstream_config &upstream)
{
    json document {{"name", upstream.name},
                   {"domain", idValue(upstream.domain)},
                   {"address", toString(upstream.address)}};
    if (upstream.health.port != 0)
        document["health"] = toString(upstream.health);
    document["weight"] = upstream.weight;
    document["slots"] = upstream.slots;
    document["max_flows"] = upstream.maxFlows;
    return document;
}

json fullUpstreamJson(const upstream_config &upstream)
{
    json document {{"id", idValue(upstream.id)}};
    document.update(upstreamJson(upstream));
    document["state"] = toString(upstream.mode);
    if (upstream.mode == upstream_mode::Leaving) {
        document["leaving_since"] = upstream.leavingSince.count();
        if (upstream.finalTime.count() != 0)
            document["final_time"] = upstream.finalTime.count();
    }
    document["added_in"] = upstream.addedIn;
    return document;
}

json serviceJson(const service_config &service)
{
    json document {{"id", idValue(service.id)},
                   {"name", service.name},
                   {"address", toString(service.address)},
                   {"protocol", toString(service.protocol)},
                   {"limits", limitsJson(service.limits)},
                   {"upstreams", json::array()},
                   {"slots", json::array()}};
    for (const auto &upstream : service.upstreams)
        document["upstreams"].push_back(fullUpstreamJson(upstream));
    for (const auto &slot : service.slots)
        document["slots"].push_back(
            json::array({idValue(slot.holder), idValue(slot.next), slot.tracked}));
    return document;
}

void addCreateService(json &document, const service_config &service)
{
    document["address"] = toString(service.address);
    document["protocol"] = toString(service.protocol);
    document["limits"] = limitsJson(service.limits);
    document["upstreams"] = json::array();
    for (const auto &upstream : service.upstreams)
        document["upstreams"].push_back(upstreamJson(upstream));
}

json operationJson(const patch_operation &operation)
{
    json document {{"operation", toString(operation.kind)}, {"service", operation.service}};
    switch (operation.kind) {
    case patch_operation_kind::CreateService:
        addCreateService(document, operation.newService);
        break;
    case patch_operation_kind::AddUpstream:
        document["upstream"] = upstreamJson(operation.newUpstream);
        break;
    case patch_operation_kind::SetWeight:
        document["upstream"] = operation.upstream;
        document["weight"] = operation.weight;
        break;
    case patch_operation_kind::MarkLeaving:
        document["upstream"] = operation.upstream;
        document["leaving_at"] = operation.leavingAt.count();
        if (operation.finalTime.count() != 0)
            document["final_time"] = operation.finalTime.count();
        break;
    case patch_operation_kind::RemoveUpstream:
        document["upstream"] = operation.upstream;
        break;
    case patch_operation_kind::SetLimits:
        document["limits"] = limitsJson(operation.limits);
        break;
    case patch_operation_kind::RemoveService:
    case patch_operation_kind::Settle:
        break;
    }
    return document;
}

} // namespace

std::string formatConfiguration(const configuration &config)
{
    json document {{"version", config.version}, {"services", json::array()}};
    for (const auto &[id, service] : config.services)
        document["services"].push_back(serviceJson(*service));
    return dump(document);
}

std::string formatPatch(const config_patch &patch)
{
    json document {{"id", patch.id},
                   {"author", patch.author},
                   {"reason", patch.reason},
                   {"base_version", patch.baseVersion}};
    if (patch.submittedAt.count() != 0)
        document["submitted_at"] = patch.submittedAt.count();
    document["operations"] = json::array();
    for (const auto &operation : patch.operations)
        document["operations"].push_back(operationJson(operation));
    return dump(document);
}

std::string formatOutcome(const patch_outcome &outcome)
{
    json document {{"accepted", !outcome.code}, {"version", outcome.version}};
    if (outcome.code)
        document["error"] = outcome.code.message();
    if (!outcome.problems.empty()) {
        document["problems"] = json::array();
        for (const auto &[path, message] : outcome.problems)
            document["problems"].push_back({{"path", path}, {"message", message}});
    }
    if (!outcome.changedSince.empty())
        document["changed_since"] = outcome.changedSince;
    return dump(document);
}

std::string formatAudit(const std::vector<audit_entry> &entries)
{
    json document = json::array();
    for (const auto &entry : entries) {
        document.push_back({{"version", entry.version},
                            {"base_version", entry.baseVersion},
                            {"id", entry.id},
                            {"author", entry.author},
                            {"reason", entry.reason},
                            {"time", entry.time.count()},
                            {"changes", entry.changes}});
    }
    return dump(document);
}

std::string describeOperation(const patch_operation &operation)
{
    std::string line(toString(operation.kind));
    line += ' ' + operation.service;
    switch (operation.kind) {
    case patch_operation_kind::CreateService:
        return line + " at " + toString(operation.newService.address) + " with "
            + std::to_string(operation.newService.upstreams.size()) + " upstreams";
    case patch_operation_kind::AddUpstream:
        return line + '/' + operation.newUpstream.name + " at "
            + toString(operation.newUpstream.address);
    case patch_operation_kind::SetWeight:
        return line + '/' + operation.upstream + " to " + std::to_string(operation.weight);
    case patch_operation_kind::MarkLeaving:
    case patch_operation_kind::RemoveUpstream:
        return line + '/' + operation.upstream;
    case patch_operation_kind::SetLimits:
        return line + " to " + std::to_string(operation.limits.newFlowsPerSecond) + " new flows/s, "
            + std::to_string(operation.limits.maxFlows) + " flows";
    case patch_operation_kind::RemoveService:
    case patch_operation_kind::Settle:
        break;
    }
    return line;
}

} // namespace chicoryhead
