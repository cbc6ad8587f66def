/**
 * @file command_explain.cpp
 * Command that asks an instance where a new flow would go now and why.
 */

#include "argument.h"
#include "command.h"
#include "entry/explain_document.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <optional>
#include <sstream>

namespace chicoryhead {

namespace {

using nlohmann::json;

/// Parses "a.b.c.d" or "a.b.c.d:port"; the default port is that of the status pages.
std::optional<endpoint> parseInstance(const std::string &text)
{
    const bool hasPort = text.find(':') != std::string::npos;
    const auto parsed =
        parseEndpoint(hasPort ? text : text + ':' + std::to_string(FLAGS_pages_port));
    return parsed ? std::optional(parsed.value()) : std::nullopt;
}

/// The text of a member; "-" if it is null or absent.
std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? "-" : found->get<std::string>();
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << number;
    return text.str();
}

/// A latency in milliseconds; "-" if it is unknown.
std::string formatLatency(const json &candidate, const char *key)
{
    const double microseconds = candidate.at(key);
    return microseconds > 0 ? formatNumber(microseconds / 1000) : "-";
}

void printTarget(std::ostream &out, const json &target)
{
    const std::string upstream = textOf(target, "upstream");
    out << "\nservice " << textOf(target, "service") << ", weight "
        << target.at("weight").get<std::uint64_t>() << ": ";
    if (upstream == "-")
        out << "refused, reason " << textOf(target, "reason") << '\n';
    else
        out << upstream << " by rule " << textOf(target, "rule") << "; spilled share "
            << formatNumber(target.at("spilled_share")) << ", credit "
            << formatNumber(target.at("spillover_credit")) << '\n';
    text_table table({"UPSTREAM", "DOMAIN", "TIER", "WEIGHT", "LATENCY_MS", "EXPECTED_MS",
                      "SUSPECTED", "STANDING", "VERDICT"});
    for (const json &candidate : target.at("candidates"))
        table.addRow({textOf(candidate, "name"), textOf(candidate, "domain"),
                      textOf(candidate, "tier"), formatNumber(candidate.at("weight")),
                      formatLatency(candidate, "latency_us"),
                      formatLatency(candidate, "expected_wait_us"),
                      candidate.at("suspected").get<bool>() ? "yes" : "no",
                      textOf(candidate, "standing"), textOf(candidate, "verdict")});
    table.print(out);
}

void printExplanation(std::ostream &out, const json &document)
{
    out << "route      " << textOf(document, "route") << '\n';
    out << "service    " << textOf(document, "service") << '\n';
    out << "version    " << document.at("version").get<config_version>() << '\n';
    out << "state age  " << document.at("state_age_ms").get<std::uint64_t>() << " ms\n";
    out << "admission  " << textOf(document, "admission") << '\n';
    if (const std::string reason = textOf(document, "reason"); reason != "-")
        out << "refused    " << reason << '\n';
    for (const json &target : document.at("targets"))
        printTarget(out, target);
}

} // namespace

exit_code runExplain(const command_call &call)
{
    const auto instance = parseInstance(FLAGS_instance);
    if (!instance)
        return fail(call, exit_code::Usage, "--instance requires an address");
    std::string query = "service=" + FLAGS_service_address;
    if (!FLAGS_caller.empty())
        query += "&caller=" + FLAGS_caller;
    if (!FLAGS_sequence.empty())
        query += "&sequence=" + FLAGS_sequence;
    std::string message;
    if (!parseExplainQuery(query, message))
        return fail(call, exit_code::Usage, message);
    const auto body = call.environment.pages.get(*instance, std::string(explainPath) + '?' + query);
    if (!body)
        return fail(call, exit_code::Unavailable,
                    "can't read the page of " + toString(*instance) + ": "
                        + body.error().message());
    std::ostringstream text;
    try {
        printExplanation(text, json::parse(body.value()));
    } catch (const json::exception &problem) {
        return fail(call, exit_code::Unavailable, toString(*instance) + ": " + problem.what());
    }
    call.environment.out << text.str();
    return exit_code::Done;
}

} // namespace chicoryhead
