/**
 * @file test_entry_start.cpp
 * The program of an instance before it serves.
 */

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

namespace {

/// Opens a pipe for writing as soon as somebody reads it; -1 when nobody does within 10 s.
int openWhenRead(const std::string &path)
{
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int descriptor = ::open(path.c_str(), O_WRONLY | O_NONBLOCK);
        if (descriptor >= 0)
            return descriptor;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return -1;
}

} // namespace

TEST_CASE("A reload while the process starts does not end it", "[entry]")
{
    // Guards against the default action of SIGHUP, found by the soak (seed 340). The settings are a
    // pipe, so the process waits for them in its start for as long as the test needs.
    const std::string path =
        std::filesystem::temp_directory_path() / ("chicoryhead-" + std::to_string(::getpid()));
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    std::string program = CHICORYHEAD_ENTRY_PROGRAM;
    std::string settings = "--settings=" + path;
    char *const arguments[] = {program.data(), settings.data(), nullptr};
    pid_t process = 0;
    REQUIRE(::posix_spawn(&process, program.c_str(), nullptr, nullptr, arguments, environ) == 0);
    const int writer = openWhenRead(path);
    REQUIRE(writer >= 0);

    ::kill(process, SIGHUP);
    ::kill(process, SIGHUP);
    REQUIRE(::write(writer, "{}", 2) == 2);
    ::close(writer);
    int status = 0;
    ::waitpid(process, &status, 0);
    std::filesystem::remove(path);
    // The settings are not valid, and the process has come so far as to say so.
    REQUIRE(WIFEXITED(status));
    constexpr int exitInvalidSettings = 3;
    CHECK(WEXITSTATUS(status) == exitInvalidSettings);
}
