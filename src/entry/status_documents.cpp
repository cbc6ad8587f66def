/**
 * @file status_documents.cpp
 * Renders the status documents with RapidJSON.
 */

#include "status_documents.h"

#include "json_writer_func.h"

#include <algorithm>
#include <tuple>

namespace chicoryhead {

namespace {

using detail::json_writer;
using detail::writeCount;
using detail::writeText;

void writeFlag(json_writer &writer, const char *key, bool value)
{
    writer.Key(key);
    writer.Bool(value);
}

std::string_view stateName(const instance_status &status)
{
    if (status.isStopping)
        return "stopping";
    return status.gauges.isReady ? "ready" : "starting";
}

} // namespace

std::string renderInstance(const instance_status &status)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writeText(writer, "name", status.name);
    writeText(writer, "domain", status.domain);
    writeText(writer, "state", stateName(status));
    writeCount(writer, "version", status.gauges.configVersion);
    writeCount(writer, "revision", status.revision);
    writeCount(writer, "state_age_ms",
               static_cast<std::uint64_t>(status.gauges.stateAgeSeconds * 1000));
    writeFlag(writer, "reads_store", status.isReader);
    writeCount(writer, "routes", status.gauges.routes);
    writeCount(writer, "upstreams", status.gauges.upstreams);
    writeCount(writer, "upstreams_suspected", status.gauges.upstreamsSuspected);
    writeCount(writer, "flows_observed", status.gauges.flowsObserved);
    writer.EndObject();
    return buffer.GetString();
}

std::string renderUpstreams(std::vector<upstream_status> statuses)
{
    std::sort(statuses.begin(), statuses.end(),
              [](const upstream_status &a, const upstream_status &b) {
                  return std::tie(a.record->announced.service, a.record->announced.name)
                      < std::tie(b.record->announced.service, b.record->announced.name);
              });
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("upstreams");
    writer.StartArray();
    for (const upstream_status &status : statuses) {
        const upstream_announcement &announced = status.record->announced;
        writer.StartObject();
        writeText(writer, "service", announced.service);
        writeText(writer, "name", announced.name);
        writeText(writer, "domain", announced.domain);
        writeText(writer, "address", toString(announced.address));
        writeText(writer, "standing", toString(status.record->lifecycle));
        writeFlag(writer, "evacuated", status.record->isEvacuated);
        writeFlag(writer, "suspected", status.isSuspected);
        writeText(writer, "verdict", status.verdict);
        writeCount(writer, "latency_us", static_cast<std::uint64_t>(status.latency.count()));
        writeCount(writer, "flows", status.flows);
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

} // namespace chicoryhead
