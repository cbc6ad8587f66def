/**
 * @file entry_metrics.cpp
 * Renders the metrics of an entry process as text.
 */

#include "entry_metrics_base.h"

#include "table/entry_metrics_table.h"

#include <sstream>

namespace chicoryhead {

namespace {

constexpr const char *prefix = "chicoryhead_";

void writeMetadata(std::ostream &out, std::string_view name, std::string_view type,
                   std::string_view help)
{
    out << "# HELP " << prefix << name << ' ' << help << '\n';
    out << "# TYPE " << prefix << name << ' ' << type << '\n';
}

double seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

void writePackets(std::ostream &out, const entry_metrics &metrics)
{
    writeMetadata(out, "packets_total", "counter", "Packets of callers by what was decided.");
    for (std::size_t i = 0; i < metrics.packets.size(); ++i)
        out << prefix << "packets_total{reason=\"" << toString(static_cast<packet_reason>(i))
            << "\"} " << metrics.packets[i] << '\n';
    writeMetadata(out, "resets_sent_total", "counter",
                  "Attempts to open a flow that were refused.");
    out << prefix << "resets_sent_total " << metrics.resetsSent << '\n';
    writeMetadata(out, "flows_ended_total", "counter",
                  "Open flows that were reset because their upstream answers nobody.");
    out << prefix << "flows_ended_total " << metrics.flowsEnded << '\n';
    writeMetadata(out, "stalled_flows_ended_total", "counter",
                  "Those of them whose upstream acknowledges requests and answers none.");
    out << prefix << "stalled_flows_ended_total " << metrics.stalledFlowsEnded << '\n';
}

void writeHistogram(std::ostream &out, const latency_histogram &histogram)
{
    constexpr std::string_view name = "answer_seconds";
    writeMetadata(out, name, "histogram",
                  "Time from a request to the acknowledgement of its answer.");
    const auto counts = histogram.counts();
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        total += counts[i];
        out << prefix << name << "_bucket{le=\"";
        if (i < histogram.bounds().size())
            out << seconds(histogram.bounds()[i]);
        else
            out << "+Inf";
        out << "\"} " << total << '\n';
    }
    out << prefix << name << "_sum " << seconds(histogram.sum()) << '\n';
    out << prefix << name << "_count " << total << '\n';
}

void writeGauges(std::ostream &out, const entry_gauges &gauges)
{
    for (const detail::gauge_descriptor &row : detail::gaugeTable) {
        writeMetadata(out, row.name, "gauge", row.help);
        out << prefix << row.name << ' ' << gauges.*row.member << '\n';
    }
    writeMetadata(
        out, "hedge_budget_percent", "gauge",
        "Extra work that the policy allows, in percent of repeatable requests; 0 is off.");
    out << prefix << "hedge_budget_percent " << gauges.hedgeBudgetPercent << '\n';
    writeMetadata(out, "refused_fraction", "gauge",
                  "Highest fraction of the new flows of a service that are refused for its load.");
    out << prefix << "refused_fraction " << gauges.highestRefusedFraction << '\n';
    writeMetadata(out, "ready", "gauge", "Whether the fabric may send packets here.");
    out << prefix << "ready " << (gauges.isReady ? 1 : 0) << '\n';
    writeMetadata(out, "state_age_seconds", "gauge", "Time since the store's state was confirmed.");
    out << prefix << "state_age_seconds " << gauges.stateAgeSeconds << '\n';
    writeMetadata(out, "hedging_delay_seconds", "gauge",
                  "Time from an opening packet to its hedge; 0 while hedging is off.");
    out << prefix << "hedging_delay_seconds " << gauges.hedgingDelaySeconds << '\n';
    writeMetadata(out, "store_calls_total", "counter", "Calls of the store by kind and outcome.");
    for (const store_call_count &calls : gauges.storeCalls)
        out << prefix << "store_calls_total{kind=\"" << calls.kind << "\",outcome=\""
            << calls.outcome << "\"} " << calls.count << '\n';
}

} // namespace

entry_metrics::entry_metrics() : answerLatency(detail::answerLatencyBounds) { }

std::string renderEntryMetrics(const entry_metrics &metrics, const entry_gauges &gauges)
{
    std::ostringstream out;
    writePackets(out, metrics);
    writeHistogram(out, metrics.answerLatency);
    writeGauges(out, gauges);
    return out.str();
}

} // namespace chicoryhead
