/**
 * @file record_traces.cpp
 * Records the traces of tests/traces: chicoryhead_record_traces FOLDER.
 */

#include "support/trace_scenario.h"

#include <glog/logging.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: chicoryhead_record_traces FOLDER\n";
        return 2;
    }
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    int exitCode = EXIT_SUCCESS;
    for (const auto &scenario : chicoryhead::test::traceScenarios()) {
        std::ostringstream text;
        if (!chicoryhead::test::recordScenario(scenario, text)) {
            std::cerr << scenario.name << ": expected outcome did not hold; not written\n";
            exitCode = EXIT_FAILURE;
            continue;
        }
        std::ofstream file(std::string(argv[1]) + '/' + scenario.name + ".trace");
        file << text.str();
        if (!file.flush()) {
            std::cerr << scenario.name << ": can't be written\n";
            return EXIT_FAILURE;
        }
    }
    return exitCode;
}
