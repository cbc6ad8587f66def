/**
 * @file document.cpp
 * Renders the blackboard as JSON documents.
 */

#include "document_func.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>

namespace chicoryhead {

namespace {

using nlohmann::ordered_json;

constexpr double permille = 1000.0;

std::int64_t millisecondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

ordered_json timeOrNull(wall_time time)
{
    return time.count() == 0 ? ordered_json(nullptr) : ordered_json(time.count());
}

/** Names come from operators and were validated, but a document must never throw. */
std::string dump(const ordered_json &document)
{
    return document.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

ordered_json upstreamRow(const service_config &service, const upstream_config &upstream,
                         const upstream_state &state, monotonic_time now)
{
    const bool hasReport = state.reportedAt.count() != 0;
    ordered_json row;
    row["service"] = service.name;
    row["id"] = idValue(upstream.id);
    row["name"] = upstream.name;
    row["domain"] = idValue(upstream.domain);
    row["address"] = toString(upstream.address);
    row["mode"] = toString(upstream.mode);
    row["weight"] = upstream.weight;
    row["slots"] = upstream.slots;
    row["condition"] = toString(state.condition);
    row["load"] = hasReport ? ordered_json(state.loadPermille / permille) : ordered_json(nullptr);
    row["report_age_ms"] = hasReport ? ordered_json(millisecondsBetween(state.reportedAt, now))
                                     : ordered_json(nullptr);
    row["leaving_since"] = timeOrNull(upstream.leavingSince);
    row["final_time"] = timeOrNull(upstream.finalTime);
    return row;
}

} // namespace

std::string renderInstances(const blackboard &board, monotonic_time now)
{
    ordered_json rows = ordered_json::array();
    for (const auto &[id, member] : board.members) {
        ordered_json row;
        row["id"] = idValue(id);
        row["address"] = toString(member.address);
        row["domain"] = idValue(member.domain);
        row["state"] = toString(member.state);
        row["version"] = id == board.self.id ? board.config->version : member.version;
        row["incarnation"] = member.incarnation;
        row["since_ms"] = millisecondsBetween(member.since, now);
        rows.push_back(std::move(row));
    }
    ordered_json document;
    document["self"] = idValue(board.self.id);
    document["version"] = board.config->version;
    document["instances"] = std::move(rows);
    return dump(document);
}

std::string renderUpstreams(const blackboard &board, monotonic_time now)
{
    ordered_json rows = ordered_json::array();
    for (const auto &[id, service] : board.config->services) {
        for (const auto &upstream : service->upstreams) {
            const auto found = board.upstreams.find(upstream.id);
            const auto state = found == board.upstreams.end() ? upstream_state {} : found->second;
            rows.push_back(upstreamRow(*service, upstream, state, now));
        }
    }
    ordered_json document;
    document["version"] = board.config->version;
    document["upstreams"] = std::move(rows);
    return dump(document);
}

std::string renderFlows(const blackboard &board, std::span<const upstream_flow_count> flows,
                        std::size_t records)
{
    std::map<upstream_id, std::uint32_t> remaining(flows.begin(), flows.end());
    std::uint64_t total = 0;
    for (const auto &[upstream, count] : flows)
        total += count;

    ordered_json rows = ordered_json::array();
    const auto addRow = [&rows](const ordered_json &service, const ordered_json &name,
                                upstream_id id, std::string_view mode, std::uint32_t count) {
        rows.push_back({{"service", service},
                        {"name", name},
                        {"id", idValue(id)},
                        {"mode", mode},
                        {"flows", count}});
    };
    for (const auto &[id, service] : board.config->services) {
        for (const auto &upstream : service->upstreams) {
            const auto node = remaining.extract(upstream.id);
            addRow(service->name, upstream.name, upstream.id, toString(upstream.mode),
                   node.empty() ? 0 : node.mapped());
        }
    }
    for (const auto &[upstream, count] : remaining)
        addRow(nullptr, nullptr, upstream, "removed", count);

    ordered_json document;
    document["self"] = idValue(board.self.id);
    document["version"] = board.config->version;
    document["flows"] = total;
    document["records"] = records;
    document["upstreams"] = std::move(rows);
    return dump(document);
}

} // namespace chicoryhead
