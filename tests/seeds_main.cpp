/**
 * @file seeds_main.cpp
 * Runs the random scenarios of a range of seeds and prints those that violate an invariant.
 */

#include "support/random_scenario.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>
#include <optional>

DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(count, 100, "number of seeds");
DEFINE_uint64(events, 60, "last events to print for a failing seed");
DEFINE_string(class, "ordinary", "class of scenarios: ordinary, limits or deflect");

DEFINE_int64(flow, -1, "flow whose packets are noted among the events; -1 for none");

using namespace chicoryhead::test;

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("chicoryhead_seeds --first N --count M [--class C] [--events K]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);

    auto kind = scenario_class::Ordinary;
    for (const auto one : {scenario_class::Limits, scenario_class::Deflect}) {
        if (FLAGS_class == toString(one))
            kind = one;
    }
    if (FLAGS_class != toString(kind)) {
        std::fprintf(stderr, "unknown class %s\n", FLAGS_class.c_str());
        return 2;
    }
    std::uint64_t failed = 0;
    std::uint64_t opened = 0;
    for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_count; ++seed) {
        const auto traced =
            FLAGS_flow < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(FLAGS_flow));
        const scenario_result result = runScenario(seed, kind, traced);
        opened += result.counts.opened;
        if (result.violations.empty())
            continue;
        ++failed;
        std::fputs(result.report(FLAGS_events).c_str(), stdout);
        std::fflush(stdout);
    }
    std::printf("class=%s first=%llu count=%llu failed=%llu flows_opened=%llu\n",
                std::string(toString(kind)).c_str(), static_cast<unsigned long long>(FLAGS_first),
                static_cast<unsigned long long>(FLAGS_count),
                static_cast<unsigned long long>(failed), static_cast<unsigned long long>(opened));
    return failed == 0 ? 0 : 1;
}
