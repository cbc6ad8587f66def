/**
 * @file test_entry_start.cpp
 * Start and shutdown of the entry program: signals and exit codes.
 */

#include "platform/standin_codec.h"
#include "standin/entry_program.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

namespace {

/// Opens a FIFO for writing once it has a reader; -1 if it has none within 10 s.
int openFifoWhenRead(const std::string &path)
{
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int descriptor = ::open(path.c_str(), O_WRONLY | O_NONBLOCK);
        if (descriptor >= 0)
            return descriptor;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return -1;
}

/** A store that accepts connections and never answers. */
class unresponsive_store
{
public:
    unresponsive_store()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_socket, 16) == 0);
        socklen_t size = sizeof(address);
        REQUIRE(::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
    }
    ~unresponsive_store() { ::close(m_socket); }
    unresponsive_store(const unresponsive_store &) = delete;
    unresponsive_store &operator=(const unresponsive_store &) = delete;

    chicoryhead::endpoint address() const { return {INADDR_LOOPBACK, m_port}; }

private:
    int m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::uint16_t m_port = 0;
};

/// Settings of an instance on a loopback address that only this process uses.
chicoryhead::entry_settings settingsFor(const unresponsive_store &store)
{
    const std::uint32_t address =
        0x7f000000 + (static_cast<std::uint32_t>(::getpid() & 0xffff) << 8U) + 7;
    chicoryhead::entry_settings settings;
    settings.name = "f-1";
    settings.domain = "a";
    settings.dataAddress = {address, 28921};
    settings.statusAddress = {address, 28922};
    settings.peerAddress = {address, 28923};
    settings.storeAddress = store.address();
    settings.configBound = std::chrono::seconds(3);
    settings.drainBound = std::chrono::seconds(3);
    settings.stopGrace = std::chrono::seconds(6);
    settings.flowLifetime = std::chrono::seconds(60);
    return settings;
}

/** The entry program with a FIFO as settings file, so that its start blocks until it is written. */
class blocked_program
{
public:
    blocked_program()
    {
        // A write to a program that has exited must fail the test, not end it.
        std::signal(SIGPIPE, SIG_IGN);
        REQUIRE(::mkfifo(m_path.c_str(), 0600) == 0);
        std::string program = CHICORYHEAD_ENTRY_PROGRAM;
        std::string settings = "--settings=" + m_path.string();
        char *const arguments[] = {program.data(), settings.data(), nullptr};
        REQUIRE(::posix_spawn(&m_process, program.c_str(), nullptr, nullptr, arguments, environ)
                == 0);
        m_writer = openFifoWhenRead(m_path);
        REQUIRE(m_writer >= 0);
    }
    ~blocked_program() { std::filesystem::remove(m_path); }
    blocked_program(const blocked_program &) = delete;
    blocked_program &operator=(const blocked_program &) = delete;

    void signal(int number) const { ::kill(m_process, number); }

    /// Writes the settings to the FIFO, and replaces it with a file for later reads.
    void provideSettings(const std::string &text) const
    {
        const auto file = m_path.string() + ".file";
        std::ofstream(file) << text;
        std::filesystem::rename(file, m_path);
        REQUIRE(::write(m_writer, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(m_writer);
    }

    int waitForExit() const
    {
        int status = 0;
        ::waitpid(m_process, &status, 0);
        return status;
    }

private:
    std::filesystem::path m_path =
        std::filesystem::temp_directory_path() / ("chicoryhead-" + std::to_string(::getpid()));
    pid_t m_process = 0;
    int m_writer = -1;
};

} // namespace

TEST_CASE("SIGHUP during the start does not end the process", "[entry]")
{
    // Guards against the default action of SIGHUP before the event loop handles signals (found by
    // the soak, seed 340).
    const blocked_program program;
    program.signal(SIGHUP);
    program.signal(SIGHUP);
    program.provideSettings("{}");
    const int status = program.waitForExit();
    // The process got as far as rejecting the settings, which are invalid.
    REQUIRE(WIFEXITED(status));
    constexpr int exitInvalidSettings = 3;
    CHECK(WEXITSTATUS(status) == exitInvalidSettings);
}

TEST_CASE("SIGTERM during the start leads to an orderly exit", "[entry]")
{
    // Guards against the default action of SIGTERM before the event loop handles signals.
    const unresponsive_store store;
    const blocked_program program;
    program.signal(SIGTERM);
    program.provideSettings(chicoryhead::platform::encodeSettings(settingsFor(store)));
    const int status = program.waitForExit();
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("Signals during the whole shutdown do not end the process early", "[entry]")
{
    // Guards against the default action of signals between the end of the event loop and the exit
    // of the process (seen once on a busy machine, as an end by SIGTERM).
    const unresponsive_store store;
    const auto folder = std::filesystem::temp_directory_path()
        / ("chicoryhead-series-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    chicoryhead::standin::entry_program program(CHICORYHEAD_ENTRY_PROGRAM, folder,
                                                settingsFor(store));
    program.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    program.signal(SIGTERM);
    const auto begun = std::chrono::steady_clock::now();
    std::optional<int> status;
    while (!(status = program.pollExitStatus())
           && std::chrono::steady_clock::now() - begun < std::chrono::seconds(8)) {
        program.signal(SIGTERM);
        program.signal(SIGHUP);
        std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
    std::filesystem::remove_all(folder);
    REQUIRE(status);
    REQUIRE(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("Repeated SIGTERM while the store does not answer ends the process in time", "[entry]")
{
    // Guards against a process that waits for the store, or restarts its shutdown with each signal.
    const unresponsive_store store;
    const auto folder =
        std::filesystem::temp_directory_path() / ("chicoryhead-stop-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    chicoryhead::standin::entry_program program(CHICORYHEAD_ENTRY_PROGRAM, folder,
                                                settingsFor(store));
    program.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    program.signal(SIGTERM);
    const auto begun = std::chrono::steady_clock::now();
    std::optional<int> status;
    while (!(status = program.pollExitStatus())
           && std::chrono::steady_clock::now() - begun < std::chrono::seconds(8)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        program.signal(SIGTERM);
    }
    std::filesystem::remove_all(folder);
    REQUIRE(status);
    REQUIRE(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
    // The fabric needs 1.5 s to take the instance out of rotation, and no packet was received.
    const auto took = std::chrono::steady_clock::now() - begun;
    CHECK(took >= std::chrono::milliseconds(1400));
    CHECK(took < std::chrono::seconds(6));
}
