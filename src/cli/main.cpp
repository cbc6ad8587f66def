/**
 * @file main.cpp
 * The operators' client.
 */

#include "cli_base.h"
#include "curl_client.h"

#include <curl/curl.h>

#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace {

std::string readVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string randomPatchId()
{
    std::random_device device;
    std::ostringstream id;
    id << "patch-" << std::hex << std::setfill('0');
    for (int i = 0; i < 2; ++i)
        id << std::setw(8) << device();
    return id.str();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace std::chrono;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    chicoryhead::curl_client client;
    const chicoryhead::cli_environment environment {
        std::cout,
        std::cerr,
        client,
        readVariable,
        [] { return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()); },
        [] { return duration_cast<seconds>(system_clock::now().time_since_epoch()); },
        [](milliseconds time) { std::this_thread::sleep_for(time); },
        randomPatchId};
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto code = chicoryhead::runCli(arguments, environment);
    curl_global_cleanup();
    return static_cast<int>(code);
}
