/**
 * @file explain_document.cpp
 * Parses queries about a flow and renders the answers with RapidJSON.
 */

#include "explain_document.h"

#include "forward/forwarder_base.h"
#include "json_writer_func.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <sstream>
#include <system_error>

namespace chicoryhead {

namespace {

using detail::json_writer;
using detail::writeCount;
using detail::writeText;

/// Writes null instead of an empty text.
void writeOptionalText(json_writer &writer, const char *key, std::string_view text)
{
    if (!text.empty()) {
        writeText(writer, key, text);
        return;
    }
    writer.Key(key);
    writer.Null();
}

void writeNumber(json_writer &writer, const char *key, double number)
{
    writer.Key(key);
    writer.Double(number);
}

void writeCandidate(json_writer &writer, const candidate_trace &candidate,
                    const explain_sources &sources)
{
    const upstream_record &record = *sources.directory.find(candidate.id);
    writer.StartObject();
    writeText(writer, "name", record.announced.name);
    writeText(writer, "domain", record.announced.domain);
    writeText(writer, "tier", toString(candidate.tier));
    writeNumber(writer, "weight", candidate.weight);
    writeCount(writer, "latency_us", static_cast<std::uint64_t>(candidate.latency.count()));
    writeCount(writer, "expected_wait_us",
               static_cast<std::uint64_t>(candidate.expectedWait.count()));
    writer.Key("suspected");
    writer.Bool(candidate.isSuspected);
    writeText(writer, "standing", toString(record.lifecycle));
    writeText(writer, "verdict", toString(sources.health.healthOf(candidate.id)));
    writer.EndObject();
}

void writeTarget(json_writer &writer, const route_target &target, const placement_trace &trace,
                 const explain_sources &sources)
{
    writer.StartObject();
    writeText(writer, "service", target.service);
    writeCount(writer, "weight", target.weight);
    writeText(writer, "rule", toString(trace.rule));
    writeOptionalText(writer, "upstream",
                      trace.selected ? sources.directory.find(*trace.selected)->announced.name
                                     : std::string());
    const auto refusal = sources.placement.hasReachedConnectionLimit(target.service)
        ? packet_reason::NoCapacity
        : packet_reason::NoUpstream;
    writeOptionalText(writer, "reason", trace.selected ? std::string_view() : toString(refusal));
    writeNumber(writer, "spilled_share", trace.spilledShare);
    writeNumber(writer, "spillover_credit", trace.spilloverCredit);
    writer.Key("candidates");
    writer.StartArray();
    for (const candidate_trace &candidate : trace.candidates)
        writeCandidate(writer, candidate, sources);
    writer.EndArray();
    writer.EndObject();
}

/// The service that a flow gets; empty if it depends on a caller or a sequence number that the
/// query doesn't have.
std::string serviceOf(const route &selected, const explain_query &query)
{
    if (selected.targets.size() == 1)
        return selected.targets.front().service;
    if (!query.caller || !query.sequence)
        return {};
    const flow_key flow {*query.caller, query.service, transport::Tcp};
    return routing_table::selectService(selected, mixHash(hashFlow(flow), *query.sequence));
}

/// Load of a service and what follows for its new flows; empty if it is not known.
std::string admissionOf(const std::string &service, const explain_sources &sources,
                        monotonic_time now)
{
    if (sources.admission == nullptr || service.empty())
        return {};
    const service_load load = sources.admission->loadOf(service, now);
    std::ostringstream text;
    text << (load.isOverloaded ? "overloaded" : "not overloaded") << ", queueing delay "
         << std::chrono::duration_cast<std::chrono::milliseconds>(load.queueingDelay).count()
         << " ms, refuses " << std::llround(load.refusedFraction * 100)
         << "% of the new flows of the lowest priority in the local domain";
    return text.str();
}

/// Reason for which all flows to the service address are refused; empty if there is none.
std::string_view refusalOf(const route *selected, const explain_sources &sources)
{
    if (!sources.isSynchronised)
        return toString(packet_reason::NotSynchronised);
    return selected == nullptr ? toString(packet_reason::NoRoute) : std::string_view();
}

bool parseSequence(std::string_view text, std::optional<std::uint32_t> &sequence)
{
    std::uint32_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc {} || end != text.data() + text.size())
        return false;
    sequence = number;
    return true;
}

bool parseAddress(std::string_view text, std::optional<endpoint> &address)
{
    const auto parsed = parseEndpoint(std::string(text));
    if (!parsed)
        return false;
    address = parsed.value();
    return true;
}

} // namespace

std::optional<explain_query> parseExplainQuery(std::string_view query, std::string &message)
{
    std::optional<endpoint> service;
    explain_query parsed;
    while (!query.empty()) {
        const auto parameter = query.substr(0, query.find('&'));
        query.remove_prefix(parameter.size());
        if (query == "&") {
            message = "empty parameter";
            return std::nullopt;
        }
        if (!query.empty())
            query.remove_prefix(1);
        const auto name = parameter.substr(0, parameter.find('='));
        const auto value =
            name.size() < parameter.size() ? parameter.substr(name.size() + 1) : std::string_view();
        const bool isDuplicate = (name == "service" && service)
            || (name == "caller" && parsed.caller) || (name == "sequence" && parsed.sequence);
        if (isDuplicate) {
            message = "duplicate parameter " + std::string(name);
            return std::nullopt;
        }
        bool isValid = false;
        if (name == "service") {
            isValid = parseAddress(value, service);
        } else if (name == "caller") {
            isValid = parseAddress(value, parsed.caller);
        } else if (name == "sequence") {
            isValid = parseSequence(value, parsed.sequence);
        } else {
            message = "unknown parameter \"" + std::string(name) + '"';
            return std::nullopt;
        }
        if (!isValid) {
            message = "invalid value of " + std::string(name);
            return std::nullopt;
        }
    }
    if (!service) {
        message = "parameter service is missing";
        return std::nullopt;
    }
    if (parsed.sequence && !parsed.caller) {
        message = "sequence requires caller";
        return std::nullopt;
    }
    parsed.service = *service;
    return parsed;
}

std::string renderExplanation(const explain_query &query, const explain_sources &sources,
                              monotonic_time now)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    const route *selected = sources.routes.find(query.service);
    writer.StartObject();
    writeText(writer, "service_address", toString(query.service));
    writeOptionalText(writer, "caller", query.caller ? toString(*query.caller) : std::string());
    writeCount(writer, "version", sources.routes.version());
    writeCount(
        writer, "state_age_ms",
        static_cast<std::uint64_t>(
            std::max(duration_cast<milliseconds>(sources.stateAge), milliseconds(0)).count()));
    writeOptionalText(writer, "route", selected == nullptr ? std::string() : selected->name);
    writeOptionalText(writer, "service",
                      selected == nullptr ? std::string() : serviceOf(*selected, query));
    writeOptionalText(writer, "reason", refusalOf(selected, sources));
    writeOptionalText(writer, "admission",
                      selected == nullptr ? std::string()
                                          : admissionOf(serviceOf(*selected, query), sources, now));
    writer.Key("targets");
    writer.StartArray();
    if (selected != nullptr) {
        for (const route_target &target : selected->targets)
            writeTarget(writer, target, sources.placement.trace(target.service, now), sources);
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

} // namespace chicoryhead
