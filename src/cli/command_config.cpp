/**
 * @file command_config.cpp
 * Commands that show, check and replace the configuration.
 */

#include "argument.h"
#include "command.h"
#include "instance_pages.h"
#include "policy/policy_codec_func.h"
#include "text_table.h"

#include <charconv>
#include <functional>
#include <utility>

namespace chicoryhead {

namespace {

/// Polling interval for the instances; a version is usually in force everywhere within seconds.
constexpr std::chrono::milliseconds waitInterval {500};

std::string formatTargets(const route &shown)
{
    std::string text;
    for (const route_target &target : shown.targets) {
        if (!text.empty())
            text += ' ';
        text += target.service;
        if (shown.targets.size() > 1)
            text += ':' + std::to_string(target.weight);
    }
    return text;
}

void printRoutes(const command_call &call, const routing_config &config)
{
    text_table table({"ROUTE", "ADDRESS", "SERVICES", "PRIORITY", "TARGET_MS", "TIMEOUT_MS"});
    const auto milliseconds = [](monotonic_time time) {
        return std::to_string(time / std::chrono::milliseconds(1));
    };
    for (const route &shown : config.routes)
        table.addRow({shown.name, toString(shown.address), formatTargets(shown),
                      std::to_string(shown.priority), milliseconds(shown.targetLatency),
                      milliseconds(shown.timeout)});
    table.print(call.environment.out);
}

/// Reads the configuration and calls a function with the store and the configuration.
exit_code withConfig(const command_call &call,
                     const std::function<exit_code(operator_store &, const stored_config &)> &run)
{
    const auto store = openStore(call);
    if (store == nullptr)
        return exit_code::Usage;
    const auto config = store->readConfig();
    return config ? run(*store, config.value()) : failStore(call, config.error());
}

/// Determines the outcome of a replacement whose response was lost, by reading the store again.
exit_code resolveUnknownOutcome(const command_call &call, operator_store &store,
                                const std::string &text, const stored_config &base)
{
    const auto now = store.readConfig();
    if (!now || now.value().revision == base.revision)
        return fail(call, exit_code::Unknown,
                    "no response from the store; the change may still take effect, check the "
                    "version later");
    if (now.value().text != text && now.value().revision.epoch != base.revision.epoch)
        return fail(call, exit_code::Refused,
                    "the store was restored from a copy in the meantime and has version "
                        + std::to_string(now.value().decoded.version));
    if (now.value().text != text)
        return fail(call, exit_code::Refused,
                    "the configuration was replaced by another operator in the meantime");
    call.environment.out << "version " << now.value().decoded.version << " is in the store\n";
    return exit_code::Done;
}

exit_code submit(const command_call &call, operator_store &store, const std::string &text,
                 config_version version, const stored_config &base)
{
    const auto failure = store.replaceConfig(text, base.revision);
    if (!failure) {
        call.environment.out << "version " << version << " is in the store\n";
        return exit_code::Done;
    }
    if (failure == error::VersionConflict)
        return fail(call, exit_code::Refused,
                    "the configuration was replaced by another operator in the meantime");
    if (failure == error::Rejected)
        return fail(call, exit_code::Invalid, "the store rejected the configuration");
    if (failure == error::OutcomeUnknown || failure == error::Timeout)
        return resolveUnknownOutcome(call, store, text, base);
    return fail(call, exit_code::Unavailable, "nothing was changed: " + failure.message());
}

/** Contents of a configuration file. */
struct config_file
{
    std::string text;
    routing_config decoded;
};

/// Reads the file given by the first operand. On failure prints a message and returns its exit
/// code.
exit_code readConfigFile(const command_call &call, config_file &file)
{
    auto text = readTextFile(call, call.operands[0]);
    if (!text)
        return fail(call, exit_code::Unavailable, "can't read " + call.operands[0]);
    auto config = call.environment.decodeConfig(text.value());
    if (!config)
        return fail(call, exit_code::Invalid,
                    "expected a JSON object with a version and a list of routes");
    if (config.value().unusableRoutes > 0)
        return fail(call, exit_code::Invalid,
                    std::to_string(config.value().unusableRoutes)
                        + " routes without an address or a service");
    file = {std::move(text.value()), std::move(config.value())};
    return exit_code::Done;
}

/// Checks the policy file given by --policy, and prints its problems.
exit_code checkPolicyFile(const command_call &call)
{
    const auto text = readTextFile(call, FLAGS_policy);
    if (!text)
        return fail(call, exit_code::Unavailable, "can't read " + FLAGS_policy);
    std::vector<policy_problem> problems;
    parsePolicy(text.value(), problems);
    for (const policy_problem &problem : problems)
        warn(call, FLAGS_policy + ": " + toString(problem));
    if (!problems.empty())
        return exit_code::Invalid;
    call.environment.out << FLAGS_policy << ": valid\n";
    return exit_code::Done;
}

exit_code putNewerConfig(const command_call &call, operator_store &store, const config_file &file,
                         const stored_config &base)
{
    const config_version version = file.decoded.version;
    const config_version current = base.decoded.version;
    if (FLAGS_base != 0 && FLAGS_base != current)
        return fail(call, exit_code::Refused,
                    "based on version " + std::to_string(FLAGS_base) + ", the store has "
                        + std::to_string(current));
    if (version <= current)
        return fail(call, exit_code::Invalid,
                    "version " + std::to_string(version) + " is not above the store's "
                        + std::to_string(current));
    const config_version inForce = readVersionInForce(call, store);
    if (version <= inForce)
        return fail(call, exit_code::Invalid,
                    "version " + std::to_string(version) + " is not above version "
                        + std::to_string(inForce)
                        + ", which is in force on instances; the store has an older copy");
    return submit(call, store, file.text, version, base);
}

} // namespace

exit_code runConfigShow(const command_call &call)
{
    return withConfig(call, [&call](operator_store & /*store*/, const stored_config &config) {
        auto &out = call.environment.out;
        if (FLAGS_json) {
            out << config.text << '\n';
            return exit_code::Done;
        }
        out << "version " << config.decoded.version << '\n';
        printRoutes(call, config.decoded);
        return exit_code::Done;
    });
}

exit_code runConfigVersion(const command_call &call)
{
    return withConfig(call, [&call](operator_store & /*store*/, const stored_config &config) {
        call.environment.out << config.decoded.version << '\n';
        return exit_code::Done;
    });
}

exit_code runConfigWait(const command_call &call)
{
    config_version version = 0;
    const std::string &text = call.operands[0];
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (code != std::errc {} || end != text.data() + text.size())
        return fail(call, exit_code::Usage, "VERSION must be a whole number");
    const auto store = openStore(call);
    if (store == nullptr)
        return exit_code::Usage;
    const auto deadline = call.environment.now() + std::chrono::seconds(FLAGS_timeout);
    while (true) {
        const auto instances = readInstances(call, *store);
        if (!instances)
            return failStore(call, instances.error());
        std::string lagging;
        for (const instance_row &row : instances.value()) {
            if (!row.page || row.page->version < version)
                lagging += ' ' + row.registration.name;
        }
        if (lagging.empty() && !instances.value().empty()) {
            call.environment.out << "version " << version << " is in force on "
                                 << instances.value().size() << " instances\n";
            return exit_code::Done;
        }
        if (call.environment.now() >= deadline)
            return fail(call, exit_code::Timeout,
                        instances.value().empty() ? "no instance is registered"
                                                  : "behind or not answering:" + lagging);
        call.environment.sleep(waitInterval);
    }
}

exit_code runConfigCheck(const command_call &call)
{
    if (call.operands.empty() && FLAGS_policy.empty())
        return fail(call, exit_code::Usage, "no file: give FILE or --policy FILE");
    if (!FLAGS_policy.empty()) {
        const auto code = checkPolicyFile(call);
        if (code != exit_code::Done || call.operands.empty())
            return code;
    }
    config_file file;
    if (const auto code = readConfigFile(call, file); code != exit_code::Done)
        return code;
    call.environment.out << "version " << file.decoded.version << ", " << file.decoded.routes.size()
                         << " routes\n";
    return exit_code::Done;
}

exit_code runConfigPut(const command_call &call)
{
    config_file file;
    if (const auto code = readConfigFile(call, file); code != exit_code::Done)
        return code;
    return withConfig(call, [&](operator_store &store, const stored_config &base) {
        return putNewerConfig(call, store, file, base);
    });
}

} // namespace chicoryhead
