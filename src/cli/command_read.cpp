/**
 * @file command_read.cpp
 * Commands that read the state of instances.
 */

#include "argument.h"
#include "command.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <ctime>
#include <map>
#include <optional>

namespace chicoryhead {

namespace {

using json = nlohmann::ordered_json;

/// Time between two looks at the versions; a version reaches everybody within 7 s.
constexpr std::chrono::milliseconds waitInterval {500};

/** A member of a document as text: "-" when it is missing or null. */
std::string cell(const json &row, const char *key)
{
    const auto found = row.find(key);
    if (found == row.end() || found->is_null())
        return "-";
    if (found->is_string())
        return found->get<std::string>();
    return found->dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string timeCell(const json &row, const char *key)
{
    const auto found = row.find(key);
    if (found == row.end() || !found->is_number_integer() || found->get<std::int64_t>() == 0)
        return "-";
    const std::time_t time = found->get<std::int64_t>();
    std::tm parts {};
    std::string text(32, '\0');
    if (gmtime_r(&time, &parts) == nullptr)
        return "-";
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
    return text;
}

/** Prints a document as JSON if that was asked for. */
bool printJson(const command_call &call, const json &document)
{
    if (FLAGS_json)
        call.environment.out << document.dump(2, ' ', false, json::error_handler_t::replace)
                             << '\n';
    return FLAGS_json;
}

/** Rows of an array in a document; empty when there is none. */
json rowsOf(const json &document, const char *key)
{
    const auto found = document.find(key);
    return found != document.end() && found->is_array() ? *found : json::array();
}

/** Keeps the rows of one service, if one was named. */
json filterService(const command_call &call, const json &rows)
{
    if (call.operands.empty())
        return rows;
    json kept = json::array();
    for (const auto &row : rows) {
        if (cell(row, "service") == call.operands[0])
            kept.push_back(row);
    }
    return kept;
}

/// Version and state of an instance, combined from the documents of several instances.
struct instance_view
{
    std::string state;
    std::string domain;
    config_version version = 0;
};

/** Adds what one instance says about all of them. */
void addViews(const json &document, std::map<std::uint64_t, instance_view> &views)
{
    const auto self = document.value("self", std::uint64_t {0});
    for (const auto &row : rowsOf(document, "instances")) {
        const auto id = row.value("id", std::uint64_t {0});
        const auto version = row.value("version", config_version {0});
        auto &view = views[id];
        // Versions never decrease, so the highest one reported is the latest.
        view.version = std::max(view.version, version);
        if (view.state.empty() || id == self)
            view.state = cell(row, "state");
        view.domain = cell(row, "domain");
    }
}

/**
 * Asks all servers; those that do not answer are skipped.
 * @param problems gets one line for each of them.
 */
std::map<std::uint64_t, instance_view> readViews(const command_call &call,
                                                 std::vector<std::string> &problems)
{
    std::map<std::uint64_t, instance_view> views;
    for (const auto &server : serverUrls(call)) {
        json document;
        const std::string problem = tryReadDocument(call, server + "/v1/instances", document);
        if (problem.empty())
            addViews(document, views);
        else
            problems.push_back(problem);
    }
    std::erase_if(views, [](const auto &entry) { return entry.second.state == "dead"; });
    return views;
}

void printWait(const command_call &call, config_version version,
               const std::map<std::uint64_t, instance_view> &lagging, std::size_t total)
{
    if (FLAGS_json) {
        json rows = json::array();
        for (const auto &[id, view] : lagging)
            rows.push_back({{"id", id}, {"state", view.state}, {"version", view.version}});
        printJson(call, {{"version", version}, {"instances", total}, {"lagging", rows}});
        return;
    }
    auto &out = call.environment.out;
    out << "version " << version << " is in force on " << total - lagging.size() << " of " << total
        << " instances\n";
    if (lagging.empty())
        return;
    text_table table({"LAGGING", "DOMAIN", "STATE", "VERSION"});
    for (const auto &[id, view] : lagging)
        table.addRow({std::to_string(id), view.domain, view.state, std::to_string(view.version)});
    table.print(out);
}

} // namespace

exit_code runConfigShow(const command_call &call)
{
    json document;
    const auto code = readDocument(call, "/v1/config", document);
    if (code != exit_code::Done || printJson(call, document))
        return code;
    call.environment.out << "version " << cell(document, "version") << '\n';
    text_table table(
        {"SERVICE", "ADDRESS", "PROTOCOL", "UPSTREAM", "DOMAIN", "ENDPOINT", "WEIGHT", "STATE"});
    for (const auto &service : rowsOf(document, "services")) {
        const auto upstreams = rowsOf(service, "upstreams");
        if (upstreams.empty())
            table.addRow({cell(service, "name"), cell(service, "address"),
                          cell(service, "protocol"), "-", "-", "-", "-", "-"});
        for (const auto &upstream : upstreams)
            table.addRow({cell(service, "name"), cell(service, "address"),
                          cell(service, "protocol"), cell(upstream, "name"),
                          cell(upstream, "domain"), cell(upstream, "address"),
                          cell(upstream, "weight"), cell(upstream, "state")});
    }
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runConfigVersion(const command_call &call)
{
    json document;
    // This document has the version too, and is much smaller than the configuration.
    const auto code = readDocument(call, "/v1/instances", document);
    if (code != exit_code::Done)
        return code;
    const auto version = document.at("version").get<config_version>();
    if (!printJson(call, {{"version", version}}))
        call.environment.out << version << '\n';
    return exit_code::Done;
}

exit_code runConfigWait(const command_call &call)
{
    config_version version = 0;
    const std::string &text = call.operands[0];
    const auto [end, parsed] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed != std::errc {} || end != text.data() + text.size())
        return fail(call, exit_code::Usage, "\"" + text + "\" is not a version");

    const auto deadline = call.environment.now() + std::chrono::seconds(FLAGS_timeout);
    while (true) {
        std::vector<std::string> problems;
        const auto views = readViews(call, problems);
        auto lagging = views;
        std::erase_if(lagging,
                      [version](const auto &entry) { return entry.second.version >= version; });
        const bool isDone = !views.empty() && lagging.empty();
        if (isDone || call.environment.now() >= deadline) {
            for (const auto &problem : problems)
                fail(call, exit_code::Unavailable, problem);
            if (!views.empty())
                printWait(call, version, lagging, views.size());
            if (isDone)
                return exit_code::Done;
            return views.empty() ? exit_code::Unavailable : exit_code::Timeout;
        }
        call.environment.sleep(waitInterval);
    }
}

exit_code runInstances(const command_call &call)
{
    json document;
    const auto code = readDocument(call, "/v1/instances", document);
    if (code != exit_code::Done || printJson(call, document))
        return code;
    text_table table({"INSTANCE", "ADDRESS", "DOMAIN", "STATE", "VERSION", "INCARNATION"});
    for (const auto &row : rowsOf(document, "instances"))
        table.addRow({cell(row, "id"), cell(row, "address"), cell(row, "domain"),
                      cell(row, "state"), cell(row, "version"), cell(row, "incarnation")});
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runUpstreams(const command_call &call)
{
    json document;
    const auto code = readDocument(call, "/v1/upstreams", document);
    if (code != exit_code::Done)
        return code;
    document["upstreams"] = filterService(call, rowsOf(document, "upstreams"));
    if (printJson(call, document))
        return exit_code::Done;
    text_table table({"SERVICE", "UPSTREAM", "ID", "DOMAIN", "ENDPOINT", "MODE", "CONDITION",
                      "WEIGHT", "LOAD", "FINAL"});
    for (const auto &row : document["upstreams"])
        table.addRow({cell(row, "service"), cell(row, "name"), cell(row, "id"), cell(row, "domain"),
                      cell(row, "address"), cell(row, "mode"), cell(row, "condition"),
                      cell(row, "weight"), cell(row, "load"), timeCell(row, "final_time")});
    table.print(call.environment.out);
    return exit_code::Done;
}

exit_code runFlows(const command_call &call)
{
    json documents = json::array();
    auto code = exit_code::Done;
    text_table table({"INSTANCE", "SERVICE", "UPSTREAM", "MODE", "FLOWS"});
    text_table totals({"INSTANCE", "VERSION", "FLOWS", "RECORDS"});
    for (const auto &server : serverUrls(call)) {
        json document;
        const std::string problem = tryReadDocument(call, server + "/v1/flows", document);
        if (!problem.empty()) {
            code = fail(call, exit_code::Unavailable, problem);
            continue;
        }
        document["upstreams"] = filterService(call, rowsOf(document, "upstreams"));
        for (const auto &row : document["upstreams"])
            table.addRow({cell(document, "self"), cell(row, "service"), cell(row, "name"),
                          cell(row, "mode"), cell(row, "flows")});
        totals.addRow({cell(document, "self"), cell(document, "version"), cell(document, "flows"),
                       cell(document, "records")});
        documents.push_back(std::move(document));
    }
    if (printJson(call, documents) || documents.empty())
        return code;
    table.print(call.environment.out);
    call.environment.out << '\n';
    totals.print(call.environment.out);
    return code;
}

exit_code runAudit(const command_call &call)
{
    json document;
    const auto code = readDocument(call, "/v1/audit", document);
    if (code != exit_code::Done || printJson(call, document))
        return code;
    text_table table({"VERSION", "BASE", "TIME", "AUTHOR", "PATCH", "CHANGE", "REASON"});
    for (const auto &row : document) {
        bool isFirst = true;
        for (const auto &change : rowsOf(row, "changes")) {
            const std::string line = change.is_string() ? change.get<std::string>() : "-";
            if (isFirst)
                table.addRow({cell(row, "version"), cell(row, "base_version"),
                              timeCell(row, "time"), cell(row, "author"), cell(row, "id"), line,
                              cell(row, "reason")});
            else
                table.addRow({"", "", "", "", "", line, ""});
            isFirst = false;
        }
    }
    table.print(call.environment.out);
    return exit_code::Done;
}

} // namespace chicoryhead
