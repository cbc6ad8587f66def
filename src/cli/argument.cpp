/**
 * @file argument.cpp
 * Flags of the client.
 */

#include "argument.h"

#include <algorithm>

DEFINE_string(server, "",
              "URLs of instances, separated by commas; the first that answers is used, \"flows\" "
              "and \"config wait\" ask all. Else CHICORYHEAD_SERVER, else http://127.0.0.1:8080");
DEFINE_string(token, "",
              "operator's token for changes. Else CHICORYHEAD_TOKEN, which does not show in the "
              "list of processes");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(base, 0, "version that the change is based on; else the current version is read");
DEFINE_string(reason, "", "why, for the audit trail; required");
DEFINE_string(author, "", "who, for the audit trail. Else CHICORYHEAD_AUTHOR, else USER");
DEFINE_string(id, "", "id of the patch; with the id of an earlier patch its outcome is returned");
DEFINE_uint32(timeout, 30, "time to wait, in s");
DEFINE_string(address, "", "address of the service or the upstream, ip:port; required");
DEFINE_string(protocol, "", "tcp, udp or request; required");
DEFINE_string(upstreams, "", "file with a JSON array of upstreams");
DEFINE_string(health, "", "HTTP endpoint of health and load, ip:port");
DEFINE_uint32(domain, 0, "failure domain; required");
DEFINE_uint32(weight, 100, "share of new flows, 1 to 1000");
DEFINE_uint32(slots, 3, "requests that the upstream works on at a time");
DEFINE_uint32(max_flows, 4300, "flows that the upstream or the service may hold");
DEFINE_uint32(new_flows_per_second, 0, "new flows per s that the service accepts; 0 for no limit");
DEFINE_uint32(retry_budget_percent, 10, "retries per 100 new flows");
DEFINE_uint32(retry_after_ms, 500, "mean time that refused callers are told to wait, in ms");
DEFINE_string(leaving_at, "+0", "when it starts to leave: s since 1970, or +s from now");
DEFINE_string(final_time, "", "when remaining flows are reported: s since 1970, or +s from now");
DEFINE_bool(force, false, "send the change although it may break open flows");

namespace chicoryhead {

namespace {

/** Sets one flag from "name=value" or from "name" and the argument that follows. */
bool setFlag(const std::vector<std::string> &arguments, std::size_t &index, command_line &line,
             std::string &message)
{
    const std::string text = arguments[index].substr(2);
    const auto equals = text.find('=');
    const std::string shown = "--" + text.substr(0, equals);
    std::string name = text.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');

    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
        message = "unknown flag " + shown;
        return false;
    }
    std::string value = "true";
    if (equals != std::string::npos) {
        value = text.substr(equals + 1);
    } else if (info.type != "bool") {
        if (++index == arguments.size()) {
            message = shown + " needs a value";
            return false;
        }
        value = arguments[index];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        message = shown + " does not take the value \"" + value + "\"; its type is " + info.type;
        return false;
    }
    line.flags.push_back(name);
    return true;
}

} // namespace

result<command_line> parseArguments(const std::vector<std::string> &arguments, std::string &message)
{
    command_line line;
    bool onlyWords = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (onlyWords || !argument.starts_with('-')) {
            line.words.push_back(argument);
        } else if (argument == "--") {
            onlyWords = true;
        } else if (argument == "--help" || argument == "-h") {
            line.wantsHelp = true;
        } else if (!argument.starts_with("--")) {
            message = "unknown flag " + argument;
            return std::make_error_code(std::errc::invalid_argument);
        } else if (!setFlag(arguments, i, line, message)) {
            return std::make_error_code(std::errc::invalid_argument);
        }
    }
    return line;
}

bool isFlagGiven(const char *name)
{
    return !gflags::GetCommandLineFlagInfoOrDie(name).is_default;
}

std::string describeFlag(std::string_view name)
{
    const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    std::string line = "  --" + info.name + (info.type == "bool" ? "" : " VALUE");
    line += std::string(line.size() < 32 ? 32 - line.size() : 1, ' ') + info.description;
    if (info.type != "bool" && !info.default_value.empty() && info.default_value != "0")
        line += " (default " + info.default_value + ")";
    return line;
}

} // namespace chicoryhead
