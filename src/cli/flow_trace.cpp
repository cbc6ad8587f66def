/**
 * @file flow_trace.cpp
 * Selection of log lines and derivation of findings.
 */

#include "flow_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace chicoryhead {

namespace {

/// Lines about upstreams and instances are included if they are within this many seconds of the
/// flow's lines. A failed upstream is withdrawn after three missed heartbeats.
constexpr double contextWindowSeconds = 8;

/// Instance events that can affect the handling of a flow.
constexpr std::array<std::string_view, 8> instanceEvents {
    "started",    "stopping",       "stopped",           "resumed",
    "store_lost", "store_regained", "settings_rejected", "config_applied"};

std::string_view takeWord(std::string_view &text)
{
    const auto begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos)
        return text = {};
    const auto end = std::min(text.find(' ', begin), text.size());
    const auto word = text.substr(begin, end - begin);
    text.remove_prefix(end);
    return word;
}

/// Consumes one key=value pair. Values with spaces are quoted; a backslash escapes quotes in them.
bool takeField(std::string_view &text, std::string &key, std::string &value)
{
    const auto begin = text.find_first_not_of(' ');
    const auto equals = text.find('=', begin == std::string_view::npos ? text.size() : begin);
    if (equals == std::string_view::npos)
        return false;
    key = text.substr(begin, equals - begin);
    text.remove_prefix(equals + 1);
    value.clear();
    if (text.empty() || text.front() != '"') {
        const auto end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return true;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value += text.front();
        text.remove_prefix(1);
    }
    if (!text.empty())
        text.remove_prefix(1);
    return true;
}

std::set<std::string> flowsOf(const std::vector<log_line> &log, const std::string &name)
{
    if (name.find('>') != std::string::npos)
        return {name};
    std::set<std::string> flows;
    for (const log_line &line : log) {
        if (line.field("request") == name)
            flows.insert(line.field("flow"));
    }
    return flows;
}

/// Upstreams, instances and time window of the traced flow, used to select related lines.
struct trace_context
{
    std::set<std::string> upstreams;
    std::set<std::string> instances;
    std::optional<double> from;
    std::optional<double> until;

    void addLine(const log_line &line, bool extendsWindow)
    {
        instances.insert(line.instance);
        for (const char *key : {"upstream", "unanswered_by", "first", "second"}) {
            const std::string &upstream = line.field(key);
            if (!upstream.empty() && upstream != "none")
                upstreams.insert(upstream);
        }
        if (!line.collectedAt || !extendsWindow)
            return;
        from = std::min(from.value_or(*line.collectedAt), *line.collectedAt);
        until = std::max(until.value_or(*line.collectedAt), *line.collectedAt);
    }

    bool isInWindow(const log_line &line) const
    {
        return !line.collectedAt || !from
            || (*line.collectedAt >= *from - contextWindowSeconds
                && *line.collectedAt <= *until + contextWindowSeconds);
    }

    bool isRelevant(const log_line &line) const
    {
        const std::string &event = line.field("event");
        if (!isInWindow(line))
            return false;
        if (event == "upstream_changed" || event == "upstream_suspected"
            || event == "upstream_trusted" || event == "upstream_judged")
            return upstreams.contains(line.field("upstream"));
        return instances.contains(line.instance)
            && std::find(instanceEvents.begin(), instanceEvents.end(), event)
            != instanceEvents.end();
    }
};

void addFinding(std::vector<std::string> &findings, std::string text)
{
    if (std::find(findings.begin(), findings.end(), text) == findings.end())
        findings.push_back(std::move(text));
}

void addFlowFindings(const log_line &line, std::vector<std::string> &findings)
{
    const std::string &event = line.field("event");
    if (event == "flow_refused")
        addFinding(findings,
                   "refused at once: " + line.field("reason") + ", with configuration "
                       + line.field("version") + " confirmed " + line.field("state_age_ms")
                       + " ms before");
    if (event == "packet_dropped")
        addFinding(findings, line.instance + " dropped a packet: " + line.field("reason"));
    if (event == "flow_placed" && line.field("unanswered_by") != "none")
        addFinding(findings, "no answer to an opening packet from " + line.field("unanswered_by"));
    if (event == "flow_hedged")
        addFinding(findings,
                   "not open " + line.field("delay_ms") + " ms after its opening packet went to "
                       + line.field("first") + "; hedged to " + line.field("second"));
    if (event == "flow_ended")
        addFinding(findings,
                   "reset by " + line.instance + ", because " + line.field("unanswered_by")
                       + (line.field("reason") == "upstream_stalled" ? " was stalled" : " was dead")
                       + ": latest unanswered request "
                       + (line.field("request_age_ms") == "none"
                              ? std::string("unknown")
                              : line.field("request_age_ms") + " ms before"));
    if (event == "tag_replaced")
        addFinding(findings,
                   "a second upstream answered the opening packet; the flow stayed at "
                       + line.field("upstream"));
    if (event == "request_repeated")
        addFinding(findings,
                   "the caller repeated request " + line.field("request") + " to "
                       + line.field("upstream") + ", which was " + line.field("standing"));
}

/// Counts other flows that got no answer from an upstream within the time window.
std::size_t countUnanswered(const std::vector<log_line> &log, const trace_context &context,
                            const std::set<std::string> &flows, const std::string &upstream)
{
    std::set<std::string> others;
    for (const log_line &line : log) {
        const bool isUnanswered = line.field("unanswered_by") == upstream
            || (line.field("event") == "request_repeated" && line.field("upstream") == upstream);
        if (isUnanswered && context.isInWindow(line) && !flows.contains(line.field("flow")))
            others.insert(line.field("flow"));
    }
    return others.size();
}

/// Describes a state change of an upstream, which many instances log; empty for other lines.
std::string describeChange(const log_line &line)
{
    const std::string &event = line.field("event");
    const std::string &upstream = line.field("upstream");
    if (event == "upstream_changed")
        return upstream + " became " + line.field("standing");
    if (event == "upstream_suspected")
        return upstream + " got no new flows because it did not answer";
    if (event == "upstream_judged")
        return upstream + " was judged " + line.field("verdict");
    return event == "upstream_trusted" ? upstream + " answered again" : std::string();
}

/// Keeps the first line of a change that several instances logged, and counts the instances.
void mergeChanges(flow_trace &trace)
{
    std::map<std::string, std::set<std::string>> instancesByChange;
    std::vector<log_line> kept;
    for (log_line &line : trace.lines) {
        const std::string change = describeChange(line);
        const bool isFirst = change.empty() || instancesByChange[change].empty();
        if (!change.empty())
            instancesByChange[change].insert(line.instance);
        if (isFirst)
            kept.push_back(std::move(line));
    }
    trace.lines = std::move(kept);
    for (const auto &[change, instances] : instancesByChange) {
        const std::size_t count = instances.size();
        addFinding(trace.findings,
                   change + ", logged by " + std::to_string(count)
                       + (count == 1 ? " instance" : " instances"));
    }
}

void addContextFindings(const log_line &line, std::vector<std::string> &findings)
{
    const std::string &event = line.field("event");
    if (!describeChange(line).empty())
        return;
    if (event == "resumed")
        addFinding(findings, line.instance + " was suspended for " + line.field("gap_ms") + " ms");
    else if (event != "config_applied")
        addFinding(findings, line.instance + ": " + event);
}

} // namespace

const std::string &log_line::field(const std::string &key) const
{
    static const std::string emptyValue;
    const auto found = fields.find(key);
    return found == fields.end() ? emptyValue : found->second;
}

std::optional<log_line> parseLogLine(std::string_view text, const std::string &file)
{
    const auto start = text.find("t_ms=");
    if (start == std::string_view::npos)
        return std::nullopt;
    log_line line;
    line.text = text;
    line.instance = file;
    std::string_view collector = text.substr(0, start);
    const auto time = takeWord(collector);
    double seconds = 0;
    const auto [end, code] = std::from_chars(time.data(), time.data() + time.size(), seconds);
    if (!time.empty() && code == std::errc {} && end == time.data() + time.size()) {
        line.collectedAt = seconds;
        if (const auto name = takeWord(collector); !name.empty())
            line.instance = name;
    }
    text.remove_prefix(start);
    std::string key;
    std::string value;
    while (takeField(text, key, value)) {
        if (key != "t_ms")
            line.fields.insert_or_assign(key, value);
    }
    if (line.field("event").empty())
        return std::nullopt;
    return line;
}

flow_trace traceFlow(const std::vector<log_line> &log, const std::string &flowOrRequest)
{
    const auto flows = flowsOf(log, flowOrRequest);
    flow_trace trace;
    trace.flows.assign(flows.begin(), flows.end());
    trace_context context;
    // A flow may carry many requests; lines of requests other than the traced one are omitted.
    const bool isWholeFlow = flows.contains(flowOrRequest);
    const auto isOfFlow = [&](const log_line &line) {
        const std::string &request = line.field("request");
        return flows.contains(line.field("flow"))
            && (isWholeFlow || request.empty() || request == flowOrRequest);
    };
    for (const log_line &line : log) {
        if (isOfFlow(line))
            context.addLine(line, isWholeFlow || line.field("request") == flowOrRequest);
    }
    for (const log_line &line : log) {
        if (!isOfFlow(line) && !context.isRelevant(line))
            continue;
        trace.lines.push_back(line);
        trace.isOrdered = trace.isOrdered && line.collectedAt.has_value();
    }
    if (trace.isOrdered)
        std::stable_sort(
            trace.lines.begin(), trace.lines.end(),
            [](const log_line &a, const log_line &b) { return *a.collectedAt < *b.collectedAt; });
    for (const log_line &line : trace.lines) {
        if (isOfFlow(line))
            addFlowFindings(line, trace.findings);
        else
            addContextFindings(line, trace.findings);
    }
    mergeChanges(trace);
    for (const std::string &upstream : context.upstreams) {
        const auto others = countUnanswered(log, context, flows, upstream);
        if (others > 0)
            addFinding(trace.findings,
                       std::to_string(others) + " other flows got no answer from " + upstream
                           + " at that time");
    }
    return trace;
}

} // namespace chicoryhead
