/**
 * @file main.cpp
 * Entry point of the operators' command-line client.
 */

#include "cli_base.h"
#include "http/http_connection_base.h"
#include "platform/operator_access.h"
#include "platform/record_codec.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

/// A reachable instance answers within milliseconds; one that takes longer is stopped or
/// unreachable.
constexpr std::chrono::milliseconds pageTimeout {1000};

class http_page_client : public chicoryhead::page_client
{
public:
    chicoryhead::result<std::string> get(const chicoryhead::endpoint &server,
                                         const std::string &path) override
    {
        const auto answer = chicoryhead::performRequest(server, {"GET", path, {}, pageTimeout});
        if (!answer)
            return answer.error();
        if (answer.value().status != 200)
            return chicoryhead::error::NotFound;
        return answer.value().body;
    }
};

std::string readVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace std::chrono;
    http_page_client pages;
    const chicoryhead::cli_environment environment {
        std::cout,
        std::cerr,
        std::cin,
        pages,
        [](const chicoryhead::endpoint &server) {
            return std::make_unique<chicoryhead::platform::operator_access>(server);
        },
        chicoryhead::platform::decodeConfig,
        readVariable,
        [] { return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()); },
        [](milliseconds time) {
            std::this_thread::sleep_for(time);
        }};
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(chicoryhead::runCli(arguments, environment));
}
