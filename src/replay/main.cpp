/**
 * @file main.cpp
 * chicoryhead-replay, which replays traces against the core of an instance.
 */

#include "replay_func.h"
#include "trace_func.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace {

constexpr int exitSame = 0;
constexpr int exitDifferent = 1;
constexpr int exitUnreadable = 2;

int replayFile(const char *file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": can't be opened\n";
        return exitUnreadable;
    }
    chicoryhead::trace_problem problem;
    const auto recorded = chicoryhead::readTrace(stream, problem);
    if (!recorded) {
        std::cerr << file << ':' << problem.line << ": " << problem.message << '\n';
        return exitUnreadable;
    }
    const auto difference = chicoryhead::replayTrace(recorded.value());
    if (difference) {
        std::cout << file << ": differs at "
                  << chicoryhead::describeDifference(recorded.value(), *difference);
        return exitDifferent;
    }
    std::cout << file << ": " << recorded.value().events.size() << " events as recorded\n";
    return exitSame;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("replays traces of instances; see docs/replay.md\n\nusage: "
                            "chicoryhead-replay FILE...\n\nexit codes: 0 all outcomes as recorded, "
                            "1 an outcome differs, 2 usage or a file is not readable");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_minloglevel = google::GLOG_FATAL; // the events of the replayed instance
    google::InitGoogleLogging(argv[0]);
    if (argc < 2) {
        std::cerr << "chicoryhead-replay: no file given; see --help\n";
        return exitUnreadable;
    }
    int worst = exitSame;
    for (int index = 1; index < argc; ++index)
        worst = std::max(worst, replayFile(argv[index]));
    return worst;
}
