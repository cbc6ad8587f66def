/**
 * @file command_local.cpp
 * Commands that need no instance, and what all commands share.
 */

#include "argument.h"
#include "command.h"

#include "config/config_json_func.h"
#include "settings/settings_func.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace chicoryhead {

namespace {

constexpr const char *defaultServer = "http://127.0.0.1:8080";

/** The message of an error document, or the start of the body when it is not one. */
std::string errorText(const std::string &body)
{
    constexpr std::size_t shownBytes = 200;
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object() && document.contains("error") && document["error"].is_string())
        return document["error"].get<std::string>();
    return body.substr(0, shownBytes);
}

} // namespace

std::vector<std::string> serverUrls(const command_call &call)
{
    std::string list = FLAGS_server;
    if (list.empty())
        list = call.environment.variable("CHICORYHEAD_SERVER");
    std::vector<std::string> servers;
    std::istringstream stream(list);
    for (std::string server; std::getline(stream, server, ',');) {
        while (server.ends_with('/'))
            server.pop_back();
        if (!server.empty())
            servers.push_back(server.find("://") == std::string::npos ? "http://" + server
                                                                      : server);
    }
    if (servers.empty())
        servers.emplace_back(defaultServer);
    return servers;
}

exit_code fail(const command_call &call, exit_code code, std::string_view message)
{
    call.environment.err << "chicoryhead: " << message << '\n';
    return code;
}

std::string tryReadDocument(const command_call &call, const std::string &url,
                            nlohmann::ordered_json &document)
{
    const auto response = call.environment.client.get(url);
    if (!response)
        return url + ": not reachable";
    const auto &[status, body] = response.value();
    if (status != 200)
        return url + ": status " + std::to_string(status) + ": " + errorText(body);
    document = nlohmann::ordered_json::parse(body, nullptr, false);
    return document.is_discarded() ? url + ": the answer is not JSON" : std::string();
}

exit_code readDocument(const command_call &call, const std::string &path,
                       nlohmann::ordered_json &document)
{
    for (const auto &server : serverUrls(call)) {
        const std::string problem = tryReadDocument(call, server + path, document);
        if (problem.empty())
            return exit_code::Done;
        fail(call, exit_code::Unavailable, problem);
    }
    return exit_code::Unavailable;
}

result<std::string> readTextFile(const std::string &path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream stream(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad())
        return std::make_error_code(std::errc::no_such_file_or_directory);
    return text;
}

exit_code runPatchCheck(const command_call &call)
{
    const auto text = readTextFile(call.operands[0]);
    if (!text)
        return fail(call, exit_code::Usage, call.operands[0] + ": cannot be read");
    std::vector<config_problem> problems;
    if (parsePatch(text.value(), problems)) {
        call.environment.out << "the form is valid; names and versions are checked on submission\n";
        return exit_code::Done;
    }
    for (const auto &[path, message] : problems)
        call.environment.out << (path.empty() ? "patch" : path) << ": " << message << '\n';
    return exit_code::Invalid;
}

exit_code runSettingsCheck(const command_call &call)
{
    std::vector<setting_problem> problems;
    if (parseSettings(call.operands[0], problems)) {
        call.environment.out << "valid\n";
        return exit_code::Done;
    }
    for (const auto &problem : problems)
        call.environment.out << formatProblem(problem) << '\n';
    return exit_code::Invalid;
}

exit_code runSettingsPage(const command_call &call)
{
    call.environment.out << renderSettingsPage();
    return exit_code::Done;
}

exit_code runSettingsExample(const command_call &call)
{
    call.environment.out << renderExampleFile();
    return exit_code::Done;
}

} // namespace chicoryhead
