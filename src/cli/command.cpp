/**
 * @file command.cpp
 * Access to the store and to files, shared by all commands.
 */

#include "command.h"

#include "argument.h"

#include <fstream>
#include <iterator>

namespace chicoryhead {

void warn(const command_call &call, std::string_view message)
{
    call.environment.err << "chicoryhead: " << message << '\n';
}

exit_code fail(const command_call &call, exit_code code, std::string_view message)
{
    warn(call, message);
    return code;
}

std::unique_ptr<operator_store> openStore(const command_call &call)
{
    const std::string text =
        FLAGS_store.empty() ? call.environment.variable("CHICORYHEAD_STORE") : FLAGS_store;
    const auto server = parseEndpoint(text);
    if (!server) {
        fail(call, exit_code::Usage, "no store: give --store IP:PORT or set CHICORYHEAD_STORE");
        return nullptr;
    }
    return call.environment.openStore(server.value());
}

exit_code failStore(const command_call &call, std::error_code code)
{
    return fail(call, exit_code::Unavailable, "can't read the store: " + code.message());
}

exit_code withFleet(const command_call &call,
                    const std::function<exit_code(operator_store &, const fleet_changes &)> &run)
{
    const auto store = openStore(call);
    if (store == nullptr)
        return exit_code::Usage;
    const auto fleet = store->readFleet();
    return fleet ? run(*store, fleet.value()) : failStore(call, fleet.error());
}

result<std::string> readTextFile(const command_call &call, const std::string &path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(call.environment.in), {});
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::make_error_code(std::errc::no_such_file_or_directory);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace chicoryhead
