/**
 * @file command_change.cpp
 * Commands that change the configuration: each submits one patch.
 */

#include "argument.h"
#include "command.h"

#include "config/config_json_func.h"
#include "core/core_error.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace chicoryhead {

namespace {

using json = nlohmann::ordered_json;

std::string authorName(const command_call &call)
{
    if (!FLAGS_author.empty())
        return FLAGS_author;
    const std::string author = call.environment.variable("CHICORYHEAD_AUTHOR");
    return author.empty() ? call.environment.variable("USER") : author;
}

std::string operatorToken(const command_call &call)
{
    return FLAGS_token.empty() ? call.environment.variable("CHICORYHEAD_TOKEN") : FLAGS_token;
}

exit_code readVersion(const command_call &call, config_version &version)
{
    if (isFlagGiven("base")) {
        version = FLAGS_base;
        return exit_code::Done;
    }
    json document;
    const auto code = readDocument(call, "/v1/instances", document);
    if (code == exit_code::Done)
        version = document.at("version").get<config_version>();
    return code;
}

/** Reads "s since 1970" or "+s from now". */
bool parseTime(const command_call &call, const std::string &text, wall_time &time)
{
    const bool isRelative = text.starts_with('+');
    const char *first = text.data() + (isRelative ? 1 : 0);
    const char *last = text.data() + text.size();
    std::uint32_t seconds = 0;
    const auto [end, code] = std::from_chars(first, last, seconds);
    if (code != std::errc {} || end != last)
        return false;
    time = wall_time(seconds) + (isRelative ? call.environment.wallNow() : wall_time(0));
    return true;
}

exit_code exitCodeOf(int status)
{
    switch (status) {
    case 200:
        return exit_code::Done;
    case 409:
        return exit_code::Refused;
    case 503:
        return exit_code::Unavailable;
    default:
        return status >= 400 && status < 500 ? exit_code::Invalid : exit_code::Unknown;
    }
}

void printProblems(const command_call &call, const std::vector<config_problem> &problems)
{
    for (const auto &[path, message] : problems)
        call.environment.err << "  " << (path.empty() ? "patch" : path) << ": " << message << '\n';
}

/** A text in an answer, or "-" when it is missing. */
std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "-";
}

/** Prints the outcome for people. */
void printOutcome(const command_call &call, exit_code code, const std::string &id,
                  config_version base, const json &outcome)
{
    auto &err = call.environment.err;
    const std::string version = outcome.contains("version") ? outcome["version"].dump() : "unknown";
    if (code == exit_code::Done) {
        call.environment.out << "accepted as version " << version << ", patch " << id << '\n';
        return;
    }
    err << "chicoryhead: " << textOf(outcome, "error") << '\n';
    if (code == exit_code::Refused) {
        err << "  based on version " << base << ", current version " << version << '\n';
        for (const auto &line : outcome.value("changed_since", json::array()))
            err << "  since then: " << (line.is_string() ? line.get<std::string>() : line.dump())
                << '\n';
    }
    for (const auto &problem : outcome.value("problems", json::array()))
        err << "  " << textOf(problem, "path") << ": " << textOf(problem, "message") << '\n';
    if (code == exit_code::Unknown)
        err << "  send it again with --id " << id << " --base " << base
            << " to learn the outcome\n";
}

/** Sends a document to the first server that can be reached. */
result<client_response> postPatch(const command_call &call, const std::string &document)
{
    result<client_response> response = std::make_error_code(std::errc::host_unreachable);
    for (const auto &server : serverUrls(call)) {
        response =
            call.environment.client.post(server + "/v1/patches", operatorToken(call), document);
        // After an unknown outcome another instance would be sent the same patch a second time.
        if (response || response.error() != std::errc::host_unreachable)
            return response;
    }
    return response;
}

} // namespace

exit_code submitDocument(const command_call &call, const std::string &id, config_version base,
                         const std::string &document)
{
    const auto response = postPatch(call, document);
    json outcome;
    auto code = exit_code::Unavailable;
    if (response) {
        code = exitCodeOf(response.value().status);
        outcome = json::parse(response.value().body, nullptr, false);
    } else if (response.error() == error::OutcomeUnknown) {
        code = exit_code::Unknown;
    }
    if (!outcome.is_object())
        outcome = json::object();
    if (!response)
        outcome["error"] = code == exit_code::Unknown
            ? "the answer was lost; the patch may have been accepted"
            : "no instance reachable; nothing was sent";
    // Something that is not an instance may answer with status 200.
    if (code == exit_code::Done && !outcome.contains("version"))
        code = exit_code::Unknown;
    if (FLAGS_json) {
        outcome["id"] = id;
        outcome["base_version"] = base;
        call.environment.out << outcome.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        printOutcome(call, code, id, base, outcome);
    }
    return code;
}

exit_code submitOperation(const command_call &call, patch_operation operation)
{
    if (FLAGS_reason.empty())
        return fail(call, exit_code::Usage, "--reason is required; it goes into the audit trail");
    config_patch patch;
    patch.id = FLAGS_id.empty() ? call.environment.makePatchId() : FLAGS_id;
    patch.author = authorName(call);
    patch.reason = FLAGS_reason;
    patch.submittedAt = call.environment.wallNow();
    const auto code = readVersion(call, patch.baseVersion);
    if (code != exit_code::Done)
        return code;
    patch.operations.push_back(std::move(operation));

    const std::string document = formatPatch(patch);
    std::vector<config_problem> problems;
    if (!parsePatch(document, problems)) {
        fail(call, exit_code::Invalid, "the change is not valid; it was not sent");
        printProblems(call, problems);
        return exit_code::Invalid;
    }
    return submitDocument(call, patch.id, patch.baseVersion, document);
}

exit_code runPatchSubmit(const command_call &call)
{
    const auto text = readTextFile(call.operands[0]);
    if (!text)
        return fail(call, exit_code::Usage, call.operands[0] + ": cannot be read");
    json document = json::parse(text.value(), nullptr, false);
    if (!document.is_object())
        return fail(call, exit_code::Invalid, call.operands[0] + ": not a JSON object");

    if (!FLAGS_id.empty() || !document.contains("id"))
        document["id"] = FLAGS_id.empty() ? call.environment.makePatchId() : FLAGS_id;
    if (!FLAGS_author.empty() || !document.contains("author"))
        document["author"] = authorName(call);
    if (!FLAGS_reason.empty())
        document["reason"] = FLAGS_reason;
    if (!document.contains("submitted_at"))
        document["submitted_at"] = call.environment.wallNow().count();
    if (isFlagGiven("base") || !document.contains("base_version")) {
        config_version base = 0;
        const auto code = readVersion(call, base);
        if (code != exit_code::Done)
            return code;
        document["base_version"] = base;
    }

    const std::string complete = document.dump(-1, ' ', false, json::error_handler_t::replace);
    std::vector<config_problem> problems;
    const auto patch = parsePatch(complete, problems);
    if (!patch) {
        fail(call, exit_code::Invalid, "the patch is not valid; it was not sent");
        printProblems(call, problems);
        return exit_code::Invalid;
    }
    return submitDocument(call, patch.value().id, patch.value().baseVersion, complete);
}

namespace {

/** Reads an address from a flag; prints a message when it is wrong. */
bool readAddress(const command_call &call, const char *flag, const std::string &text,
                 endpoint &address)
{
    const auto parsed = parseEndpoint(text);
    if (parsed)
        address = parsed.value();
    else
        fail(call, exit_code::Usage, std::string("--") + flag + " takes ip:port");
    return static_cast<bool>(parsed);
}

bool readProtocol(const command_call &call, service_protocol &protocol)
{
    for (const auto candidate :
         {service_protocol::Tcp, service_protocol::Udp, service_protocol::Request}) {
        if (toString(candidate) == FLAGS_protocol) {
            protocol = candidate;
            return true;
        }
    }
    fail(call, exit_code::Usage, "--protocol takes tcp, udp or request");
    return false;
}

patch_operation makeOperation(const command_call &call, patch_operation_kind kind)
{
    patch_operation operation;
    operation.kind = kind;
    operation.service = call.operands[0];
    if (call.operands.size() > 1)
        operation.upstream = call.operands[1];
    return operation;
}

/** Reads --upstreams, a JSON array of upstreams as in a patch. */
exit_code readUpstreams(const command_call &call, patch_operation &operation)
{
    const auto text = readTextFile(FLAGS_upstreams);
    if (!text)
        return fail(call, exit_code::Usage, FLAGS_upstreams + ": cannot be read");
    const json upstreams = json::parse(text.value(), nullptr, false);
    if (!upstreams.is_array())
        return fail(call, exit_code::Invalid, FLAGS_upstreams + ": not a JSON array");

    // The form of an upstream is known to parsePatch() only, so it reads them as part of a patch.
    config_patch patch;
    patch.id = patch.author = patch.reason = "-";
    patch.operations.push_back(operation);
    json document = json::parse(formatPatch(patch));
    document["operations"][0]["upstreams"] = upstreams;
    std::vector<config_problem> problems;
    const auto parsed = parsePatch(document.dump(), problems);
    if (!parsed) {
        fail(call, exit_code::Invalid, FLAGS_upstreams + ": not valid; nothing was sent");
        printProblems(call, problems);
        return exit_code::Invalid;
    }
    operation = parsed.value().operations[0];
    return exit_code::Done;
}

template<typename Number>
void setIfGiven(const char *flag, std::uint32_t value, Number &target)
{
    if (isFlagGiven(flag))
        target = static_cast<Number>(value);
}

} // namespace

exit_code runServiceCreate(const command_call &call)
{
    patch_operation operation = makeOperation(call, patch_operation_kind::CreateService);
    operation.newService.name = operation.service;
    if (!readAddress(call, "address", FLAGS_address, operation.newService.address)
        || !readProtocol(call, operation.newService.protocol))
        return exit_code::Usage;
    if (!FLAGS_upstreams.empty()) {
        const auto code = readUpstreams(call, operation);
        if (code != exit_code::Done)
            return code;
    }
    return submitOperation(call, std::move(operation));
}

exit_code runServiceLimits(const command_call &call)
{
    patch_operation operation = makeOperation(call, patch_operation_kind::SetLimits);
    json config;
    const auto code = readDocument(call, "/v1/config", config);
    if (code != exit_code::Done)
        return code;
    service_limits &limits = operation.limits;
    bool isKnown = false;
    for (const auto &service : config.value("services", json::array())) {
        if (service.value("name", std::string()) != operation.service)
            continue;
        isKnown = true;
        const json current = service.value("limits", json::object());
        limits.newFlowsPerSecond = current.value("new_flows_per_second", limits.newFlowsPerSecond);
        limits.maxFlows = current.value("max_flows", limits.maxFlows);
        limits.retryBudgetPercent =
            current.value("retry_budget_percent", limits.retryBudgetPercent);
        limits.retryAfterMs = current.value("retry_after_ms", limits.retryAfterMs);
    }
    if (!isKnown)
        return fail(call, exit_code::Invalid, "no service \"" + operation.service + "\"");
    setIfGiven("new_flows_per_second", FLAGS_new_flows_per_second, limits.newFlowsPerSecond);
    setIfGiven("max_flows", FLAGS_max_flows, limits.maxFlows);
    setIfGiven("retry_budget_percent", FLAGS_retry_budget_percent, limits.retryBudgetPercent);
    setIfGiven("retry_after_ms", FLAGS_retry_after_ms, limits.retryAfterMs);
    return submitOperation(call, std::move(operation));
}

exit_code runServiceSettle(const command_call &call)
{
    const auto code = checkSettled(call);
    if (code != exit_code::Done)
        return code;
    return submitOperation(call, makeOperation(call, patch_operation_kind::Settle));
}

exit_code runServiceRemove(const command_call &call)
{
    const auto code = checkNoFlows(call);
    if (code != exit_code::Done)
        return code;
    return submitOperation(call, makeOperation(call, patch_operation_kind::RemoveService));
}

exit_code runUpstreamAdd(const command_call &call)
{
    patch_operation operation = makeOperation(call, patch_operation_kind::AddUpstream);
    upstream_config &upstream = operation.newUpstream;
    upstream.name = operation.upstream;
    if (!isFlagGiven("domain"))
        return fail(call, exit_code::Usage, "--domain is required");
    if (FLAGS_domain > 0xffff || FLAGS_weight > 1000 || FLAGS_slots > 0xffff)
        return fail(call, exit_code::Usage,
                    "--domain and --slots take at most 65535, --weight at most 1000");
    if (!readAddress(call, "address", FLAGS_address, upstream.address))
        return exit_code::Usage;
    if (!FLAGS_health.empty() && !readAddress(call, "health", FLAGS_health, upstream.health))
        return exit_code::Usage;
    upstream.domain = static_cast<domain_id>(FLAGS_domain);
    setIfGiven("weight", FLAGS_weight, upstream.weight);
    setIfGiven("slots", FLAGS_slots, upstream.slots);
    setIfGiven("max_flows", FLAGS_max_flows, upstream.maxFlows);
    return submitOperation(call, std::move(operation));
}

exit_code runUpstreamLeave(const command_call &call)
{
    patch_operation operation = makeOperation(call, patch_operation_kind::MarkLeaving);
    if (!parseTime(call, FLAGS_leaving_at, operation.leavingAt))
        return fail(call, exit_code::Usage, "--leaving_at takes s since 1970 or +s from now");
    if (!FLAGS_final_time.empty() && !parseTime(call, FLAGS_final_time, operation.finalTime))
        return fail(call, exit_code::Usage, "--final_time takes s since 1970 or +s from now");
    return submitOperation(call, std::move(operation));
}

exit_code runUpstreamWeight(const command_call &call)
{
    patch_operation operation = makeOperation(call, patch_operation_kind::SetWeight);
    const std::string &text = call.operands[2];
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, operation.weight);
    if (code != std::errc {} || end != last)
        return fail(call, exit_code::Usage, "\"" + text + "\" is not a weight from 1 to 1000");
    return submitOperation(call, std::move(operation));
}

exit_code runUpstreamRemove(const command_call &call)
{
    const auto code = checkNoFlows(call);
    if (code != exit_code::Done)
        return code;
    return submitOperation(call, makeOperation(call, patch_operation_kind::RemoveUpstream));
}

} // namespace chicoryhead
