/**
 * @file command_guard.cpp
 * Checks before changes that break open flows when they come too early. --force skips them.
 */

#include "argument.h"
#include "command.h"

#include <nlohmann/json.hpp>

#include <set>

namespace chicoryhead {

namespace {

using json = nlohmann::ordered_json;

/** Flows that one instance holds of the service or upstream that the operands name. */
std::uint64_t countFlows(const command_call &call, const json &document)
{
    std::uint64_t flows = 0;
    for (const auto &row : document.at("upstreams")) {
        const bool isMeant = row.at("service") == call.operands[0]
            && (call.operands.size() < 2 || row.at("name") == call.operands[1]);
        if (isMeant)
            flows += row.at("flows").get<std::uint64_t>();
    }
    return flows;
}

std::uint64_t countRecords(const command_call & /*call*/, const json &document)
{
    return document.at("records").get<std::uint64_t>();
}

/** Refuses when a count in the flows document of an instance asked is not 0. */
exit_code checkNone(const command_call &call, std::string_view what,
                    std::uint64_t (*count)(const command_call &, const json &))
{
    for (const auto &server : serverUrls(call)) {
        json document;
        const std::string problem = tryReadDocument(call, server + "/v1/flows", document);
        if (!problem.empty())
            return fail(call, exit_code::Unavailable, problem);
        const auto found = count(call, document);
        if (found != 0)
            return fail(call, exit_code::Invalid,
                        server + " holds " + std::to_string(found) + ' ' + std::string(what)
                            + " that this may break; nothing was sent, see --force");
    }
    return exit_code::Done;
}

/**
 * Slots whose new flows go elsewhere although the holder is active. The holder's flows there are
 * recorded nowhere, and settling sends them to the upstream of the new flows.
 */
std::size_t countMovedSlots(const json &service)
{
    std::set<std::uint64_t> active;
    for (const auto &upstream : service.at("upstreams")) {
        if (upstream.at("state") == "active")
            active.insert(upstream.at("id").get<std::uint64_t>());
    }
    std::size_t moved = 0;
    for (const auto &slot : service.at("slots")) {
        const auto holder = slot.at(0).get<std::uint64_t>();
        if (slot.at(1) != holder && active.contains(holder))
            ++moved;
    }
    return moved;
}

} // namespace

exit_code checkNoFlows(const command_call &call)
{
    return FLAGS_force ? exit_code::Done : checkNone(call, "flows", countFlows);
}

exit_code checkSettled(const command_call &call)
{
    if (FLAGS_force)
        return exit_code::Done;
    json config;
    const auto code = readDocument(call, "/v1/config", config);
    if (code != exit_code::Done)
        return code;
    for (const auto &service : config.at("services")) {
        if (service.at("name") != call.operands[0])
            continue;
        const auto moved = countMovedSlots(service);
        if (moved != 0)
            return fail(call, exit_code::Invalid,
                        std::to_string(moved)
                            + " slots have unrecorded flows at their holder that this may break; "
                              "nothing was sent, see --force");
    }
    return checkNone(call, "records", countRecords);
}

} // namespace chicoryhead
