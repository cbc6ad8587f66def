/**
 * @file status_documents.cpp
 * Documents for operators, written with RapidJSON.
 */

#include "status_documents.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <tuple>

namespace chicoryhead {

namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

void writeText(json_writer &writer, const char *key, std::string_view text)
{
    writer.Key(key);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void writeCount(json_writer &writer, const char *key, std::uint64_t count)
{
    writer.Key(key);
    writer.Uint64(count);
}

void writeFlag(json_writer &writer, const char *key, bool value)
{
    writer.Key(key);
    writer.Bool(value);
}

std::string_view stateOf(const instance_view &view)
{
    if (view.isStopping)
        return "stopping";
    return view.gauges.isReady ? "ready" : "starting";
}

} // namespace

std::string renderInstance(const instance_view &view)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writeText(writer, "name", view.name);
    writeText(writer, "domain", view.domain);
    writeText(writer, "state", stateOf(view));
    writeCount(writer, "version", view.gauges.configVersion);
    writeCount(writer, "revision", view.revision);
    writeCount(writer, "state_age_ms",
               static_cast<std::uint64_t>(view.gauges.stateAgeSeconds * 1000));
    writeFlag(writer, "reads_store", view.isReader);
    writeCount(writer, "routes", view.gauges.routes);
    writeCount(writer, "upstreams", view.gauges.upstreams);
    writeCount(writer, "upstreams_suspected", view.gauges.upstreamsSuspected);
    writeCount(writer, "flows_observed", view.gauges.flowsObserved);
    writer.EndObject();
    return buffer.GetString();
}

std::string renderUpstreams(std::vector<upstream_view> views)
{
    std::sort(views.begin(), views.end(), [](const upstream_view &a, const upstream_view &b) {
        return std::tie(a.record->announced.service, a.record->announced.name)
            < std::tie(b.record->announced.service, b.record->announced.name);
    });
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("upstreams");
    writer.StartArray();
    for (const upstream_view &view : views) {
        const upstream_announcement &announced = view.record->announced;
        writer.StartObject();
        writeText(writer, "service", announced.service);
        writeText(writer, "name", announced.name);
        writeText(writer, "domain", announced.domain);
        writeText(writer, "address", toString(announced.address));
        writeText(writer, "standing", toString(view.record->lifecycle));
        writeFlag(writer, "suspected", view.isSuspected);
        writeText(writer, "verdict", view.verdict);
        writeCount(writer, "latency_us", static_cast<std::uint64_t>(view.latency.count()));
        writeCount(writer, "flows", view.flows);
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

} // namespace chicoryhead
