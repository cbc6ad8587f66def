/**
 * @file metrics.cpp
 * Renders metrics in the Prometheus text format.
 */

#include "metrics_func.h"

#include "table/metrics_table.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <iterator>
#include <map>
#include <string_view>
#include <vector>

namespace chicoryhead {

namespace {

constexpr double permille = 1000.0;

using seconds = std::chrono::duration<double>;

/** Escapes a label value as the format demands. */
std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

/** Text under construction. */
class metrics_writer
{
public:
    /** Starts a metric; its samples follow. */
    void begin(std::string_view name, std::string_view type, std::string_view help)
    {
        m_name = fmt::format("chicoryhead_{}", name);
        fmt::format_to(std::back_inserter(m_text), "# HELP {0} {1}\n# TYPE {0} {2}\n", m_name, help,
                       type);
    }

    /** Adds a sample. Labels are written as they are, in braces if there are any. */
    template<typename Number>
    void add(std::string_view suffix, std::string_view labels, Number value)
    {
        m_text += m_name;
        m_text += suffix;
        if (!labels.empty())
            fmt::format_to(std::back_inserter(m_text), "{{{}}}", labels);
        fmt::format_to(std::back_inserter(m_text), " {}\n", value);
    }

    /** Adds a metric with one sample. */
    template<typename Number>
    void addGauge(std::string_view name, std::string_view help, Number value)
    {
        begin(name, "gauge", help);
        add("", "", value);
    }

    std::string take() { return std::move(m_text); }

private:
    std::string m_name;
    std::string m_text;
};

void addCounters(metrics_writer &writer, const instance_counters &counters)
{
    for (const auto &[name, help, member] : detail::counterTable) {
        writer.begin(fmt::format("{}_total", name), "counter", help);
        writer.add("", "", counters.*member);
    }
}

void addHistogram(metrics_writer &writer, std::string_view name, std::string_view help,
                  const latency_histogram &histogram)
{
    writer.begin(name, "histogram", help);
    const auto counts = histogram.counts();
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram.bounds().size(); ++i) {
        cumulative += counts[i];
        const double bound = seconds(histogram.bounds()[i]).count();
        writer.add("_bucket", fmt::format("le=\"{}\"", bound), cumulative);
    }
    cumulative += counts.back();
    writer.add("_bucket", "le=\"+Inf\"", cumulative);
    writer.add("_sum", "", seconds(histogram.sum()).count());
    writer.add("_count", "", cumulative);
}

void addMembers(metrics_writer &writer, const blackboard &board)
{
    constexpr std::array states {member_state::Joining, member_state::Ready, member_state::Leaving,
                                 member_state::Suspect, member_state::Dead};
    std::array<std::size_t, states.size()> counts {};
    for (const auto &[id, member] : board.members)
        ++counts[static_cast<std::size_t>(member.state)];
    writer.begin("members", "gauge", "Instances by state, this one included.");
    for (const auto state : states)
        writer.add("", fmt::format("state=\"{}\"", toString(state)),
                   counts[static_cast<std::size_t>(state)]);
}

/** One configured upstream with what is known about it. */
struct upstream_row
{
    std::string labels;
    upstream_state state;
    upstream_mode mode = upstream_mode::Active;
    std::uint32_t flows = 0;
};

/** Rows of upstreams that this instance has a state or flows of, up to the bound. */
std::vector<upstream_row> collectUpstreams(const metrics_input &input)
{
    const std::map<upstream_id, std::uint32_t> flows(input.flows.begin(), input.flows.end());
    std::vector<upstream_row> rows;
    for (const auto &[id, service] : input.board.config->services) {
        for (const auto &upstream : service->upstreams) {
            if (rows.size() == maxUpstreamSeries)
                return rows;
            const auto state = input.board.upstreams.find(upstream.id);
            const auto count = flows.find(upstream.id);
            const bool isKnown = state != input.board.upstreams.end();
            if (!isKnown && count == flows.end())
                continue;
            rows.push_back({fmt::format("service=\"{}\",upstream=\"{}\"",
                                        escapeLabel(service->name), escapeLabel(upstream.name)),
                            isKnown ? state->second : upstream_state {}, upstream.mode,
                            count == flows.end() ? 0 : count->second});
        }
    }
    return rows;
}

void addUpstreamTotals(metrics_writer &writer, const blackboard &board)
{
    std::array<std::array<std::size_t, 2>, 2> counts {};
    for (const auto &[id, service] : board.config->services) {
        for (const auto &upstream : service->upstreams) {
            const auto state = board.upstreams.find(upstream.id);
            const auto condition =
                state == board.upstreams.end() ? upstream_condition::Open : state->second.condition;
            ++counts[static_cast<std::size_t>(upstream.mode)][static_cast<std::size_t>(condition)];
        }
    }
    writer.begin("upstreams", "gauge", "Configured upstreams by mode and condition.");
    for (const auto mode : {upstream_mode::Active, upstream_mode::Leaving}) {
        for (const auto condition : {upstream_condition::Open, upstream_condition::Deflected})
            writer.add(
                "",
                fmt::format("mode=\"{}\",condition=\"{}\"", toString(mode), toString(condition)),
                counts[static_cast<std::size_t>(mode)][static_cast<std::size_t>(condition)]);
    }
}

void addUpstreams(metrics_writer &writer, const metrics_input &input)
{
    addUpstreamTotals(writer, input.board);
    const auto rows = collectUpstreams(input);
    writer.begin("upstream_flows", "gauge", "Flows of an upstream in the local flow table.");
    for (const auto &row : rows)
        writer.add("", row.labels, row.flows);
    writer.begin("upstream_deflected", "gauge", "1 when new flows go elsewhere.");
    for (const auto &row : rows)
        writer.add("", row.labels, row.state.condition == upstream_condition::Deflected ? 1 : 0);
    writer.begin("upstream_leaving", "gauge", "1 when the upstream is marked as leaving.");
    for (const auto &row : rows)
        writer.add("", row.labels, row.mode == upstream_mode::Leaving ? 1 : 0);

    const auto hasReport = [](const upstream_row &row) {
        return row.state.reportedAt.count() != 0;
    };
    writer.begin("upstream_load", "gauge", "Slots in use as a fraction, as last reported.");
    for (const auto &row : rows) {
        if (hasReport(row))
            writer.add("", row.labels, row.state.loadPermille / permille);
    }
    writer.begin("upstream_report_age_seconds", "gauge", "Time since the last load report.");
    for (const auto &row : rows) {
        if (hasReport(row))
            writer.add("", row.labels, seconds(input.now - row.state.reportedAt).count());
    }
}

} // namespace

std::string renderMetrics(const metrics_input &input)
{
    const blackboard &board = input.board;
    std::uint64_t flows = 0;
    for (const auto &[upstream, count] : input.flows)
        flows += count;

    metrics_writer writer;
    addCounters(writer, board.counters);
    addMembers(writer, board);
    writer.addGauge("flows", "Flows in the local flow table.", flows);
    writer.addGauge("records", "Exception records held as a home.", input.records);
    writer.addGauge("config_version", "Version of the configuration in force.",
                    board.config->version);
    addUpstreams(writer, input);
    addHistogram(writer, "decision_seconds", "Time to decide where a packet goes.",
                 input.histograms.decision);
    addHistogram(writer, "answer_seconds", "Time from a request to its first answer.",
                 input.histograms.answer);
    return writer.take();
}

} // namespace chicoryhead
