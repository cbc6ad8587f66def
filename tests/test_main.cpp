/**
 * @file test_main.cpp
 * Catch2's main, compiled once; event logs of the code under test are off.
 */

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <glog/logging.h>

int main(int argc, char **argv)
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    return Catch::Session().run(argc, argv);
}
