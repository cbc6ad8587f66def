/**
 * @file main.cpp
 * chicoryheadd, the daemon of an entry instance.
 */

#include "core/log_func.h"
#include "daemon_base.h"
#include "settings/settings_func.h"

#include <curl/curl.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdlib>
#include <exception>
#include <iostream>

DEFINE_string(config, "", "settings file (INI), see docs/settings.md");
DEFINE_string(record, "",
              "writes a trace for chicoryhead-replay to this file; it has no peer key but the "
              "callers' packets and the configuration, so it is as secret as they are");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace {

constexpr int exitUsage = 2;
constexpr int exitInvalidSettings = 3;

int runDaemon(const chicoryhead::daemon_settings &settings)
{
    try {
        chicoryhead::daemon_process process(settings, FLAGS_record);
        return process.run();
    } catch (const std::exception &failure) {
        chicoryhead::logEvent(chicoryhead::log_level::Error, "start_failed",
                              {{"reason", failure.what()}});
        return EXIT_FAILURE;
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "entry instance of chicoryhead\n\nusage: chicoryheadd --config FILE "
        "[--check] [--record FILE]\n\nexit codes: 0 stopped as asked, 1 could not start, 2 "
        "usage, 3 settings are not valid");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    if (FLAGS_config.empty()) {
        std::cerr << "chicoryheadd: --config is missing; see --help\n";
        return exitUsage;
    }
    std::vector<chicoryhead::setting_problem> problems;
    const auto settings = chicoryhead::parseSettings(FLAGS_config, problems);
    for (const auto &problem : problems)
        std::cerr << chicoryhead::formatProblem(problem) << '\n';
    if (!settings) {
        if (problems.empty())
            std::cerr << FLAGS_config << ": " << settings.error().message() << '\n';
        return exitInvalidSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_config << ": valid\n";
        return EXIT_SUCCESS;
    }
    FLAGS_minloglevel = static_cast<int>(settings.value().logLevel);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return runDaemon(settings.value());
}
