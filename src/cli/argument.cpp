/**
 * @file argument.cpp
 * Parsing of command-line flags.
 */

#include "argument.h"

#include <algorithm>

DEFINE_string(store, "", "address of the store, ip:port; CHICORYHEAD_STORE if not given");
DEFINE_string(policy, "", "policy file to check");
DEFINE_bool(json, false, "print the configuration as it was written");
DEFINE_uint64(base, 0, "version that the change is based on; the current version if not given");
DEFINE_uint32(timeout, 30, "timeout, in s");
DEFINE_uint32(pages_port, 9102, "HTTP port of the instances' status pages");
DEFINE_string(instance, "", "address of the instance's status pages, ip or ip:port");
DEFINE_string(service_address, "", "service address that the flow is opened to, ip:port");
DEFINE_string(caller, "", "address that the flow is opened from, ip:port");
DEFINE_string(sequence, "",
              "sequence number of the opening packet; with the caller it selects one of several "
              "services of a route");
DEFINE_bool(end, false, "end the evacuation");
DEFINE_bool(force, false, "evacuate even if a service has no upstreams elsewhere");
DEFINE_bool(wait, false, "wait until all instances follow and no flows are left");

namespace chicoryhead {

namespace {

/** Sets a flag from "--name=value", or from "--name" and the next argument. */
bool setFlag(const std::vector<std::string> &arguments, std::size_t &index, command_line &line,
             std::string &message)
{
    const std::string text = arguments[index].substr(2);
    const auto equals = text.find('=');
    const std::string flagText = "--" + text.substr(0, equals);
    std::string name = text.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');

    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
        message = "unknown flag " + flagText;
        return false;
    }
    std::string value = "true";
    if (equals != std::string::npos) {
        value = text.substr(equals + 1);
    } else if (info.type != "bool") {
        if (++index == arguments.size()) {
            message = flagText + " requires a value";
            return false;
        }
        value = arguments[index];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        message = flagText + ": invalid value \"" + value + "\"; expected type " + info.type;
        return false;
    }
    line.flags.push_back(name);
    return true;
}

} // namespace

result<command_line> parseArguments(const std::vector<std::string> &arguments, std::string &message)
{
    command_line line;
    bool onlyPositionals = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (onlyPositionals || argument == "-" || !argument.starts_with('-')) {
            line.positionals.push_back(argument);
        } else if (argument == "--") {
            onlyPositionals = true;
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
