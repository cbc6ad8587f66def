/**
 * @file main.cpp
 * chicoryhead-entry, the daemon of an entry instance on the platform.
 */

#include "entry_process_base.h"
#include "platform/settings_codec.h"
#include "policy/policy_file_base.h"
#include "settings_file_base.h"
#include "system/signal_mask_func.h"

#include <gflags/gflags.h>

#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

DEFINE_string(settings, "", "settings file (JSON); the environment names it when this is empty");
DEFINE_string(policy, "",
              "policy file (INI) for admission, balancing and hedging, relative to the working "
              "directory; all of them are off when this is empty");
DEFINE_bool(check, false, "validate the settings and policy files and exit");
DEFINE_int32(metrics_port, 0, "port for metrics on the data address; 0 for none");

namespace {

/// Blocks control signals before the initialisers of all libraries run, so that hardly any time is
/// left in which their default action ends the process.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const holdSignalsEarly)() = chicoryhead::blockControlSignals;

constexpr int exitUsage = 2;
constexpr int exitInvalid = 3; ///< settings or policy

/** The policy file, and the policy to start with. */
struct start_policy
{
    chicoryhead::policy_file file;
    chicoryhead::traffic_policy policy;
};

/// Reads the policy file and prints its problems; empty if there are any.
std::optional<start_policy> readPolicy(const std::string &path)
{
    chicoryhead::policy_file file(path);
    const auto update = file.read();
    for (const auto &problem : update.problems)
        std::cerr << "chicoryhead-entry: " << path << ": " << toString(problem) << '\n';
    if (!update.policy)
        return std::nullopt;
    return start_policy {std::move(file), *update.policy};
}

/** @param policy empty if there is no policy file. */
int serve(const chicoryhead::entry_settings &settings, chicoryhead::settings_file &file,
          std::optional<start_policy> &policy)
{
    try {
        chicoryhead::entry_process process(settings, [&file] { return file.read(); });
        if (policy)
            process.setPolicy(policy->policy, [&policy] { return policy->file.read(); });
        process.run();
    } catch (const std::exception &failure) {
        std::cerr << "chicoryhead-entry: " << failure.what() << '\n';
        const chicoryhead::boot_clock_source clock;
        chicoryhead::event_log log(STDOUT_FILENO, clock);
        log.write("start_failed", {{"instance", settings.name}, {"reason", failure.what()}});
        log.flush();
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "entry instance of chicoryhead on the platform\n\nusage: chicoryhead-entry "
        "[--settings FILE] [--policy FILE] [--check] [--metrics_port PORT]\n\nexit codes: "
        "0 stopped on request, 1 fatal error, 2 wrong usage, 3 invalid settings or policy");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_check)
        chicoryhead::unblockControlSignals();
    const std::string path =
        FLAGS_settings.empty() ? chicoryhead::platform::settingsPath() : FLAGS_settings;
    if (path.empty() || FLAGS_metrics_port < 0 || FLAGS_metrics_port > UINT16_MAX) {
        std::cerr << "chicoryhead-entry: no settings file given, or --metrics_port out of "
                     "range 0 to 65535; see --help\n";
        return exitUsage;
    }
    // A write to a log pipe whose reader has exited must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    chicoryhead::settings_file file(path, static_cast<std::uint16_t>(FLAGS_metrics_port));
    const auto update = file.read();
    std::optional<start_policy> policy;
    if (!FLAGS_policy.empty())
        policy = readPolicy(FLAGS_policy);
    if (!update.settings || (!FLAGS_policy.empty() && !policy))
        return exitInvalid;
    if (FLAGS_check) {
        std::cout << path << ": valid\n";
        if (policy)
            std::cout << FLAGS_policy << ": valid\n";
        return EXIT_SUCCESS;
    }
    return serve(*update.settings, file, policy);
}
