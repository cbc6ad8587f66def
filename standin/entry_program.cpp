/**
 * @file entry_program.cpp
 * Start, signals and exit status of an instance's process.
 */

#include "entry_program.h"

#include "platform/standin_codec.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

namespace chicoryhead::standin {

namespace {

/// Runs the instance in the forked child. Only calls functions that are safe after the fork of a
/// multi-threaded program.
[[noreturn]] void execInstance(const char *logPath, const char *const *arguments)
{
    // Kills the instance when its parent process ends, even by a crash.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(logPath, O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // An inherited connection would stay open after the proxy has reset it.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], const_cast<char *const *>(arguments));
    constexpr int notExecutable = 127; // same exit status as in shells
    ::_exit(notExecutable);
}

} // namespace

entry_program::entry_program(std::filesystem::path program, std::filesystem::path folder,
                             entry_settings settings, std::filesystem::path policyPath)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_settings(std::move(settings))
    , m_policyPath(std::move(policyPath))
{
    std::filesystem::create_directories(m_folder);
}

entry_program::~entry_program()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void entry_program::start()
{
    const std::string settingsPath = m_folder / (m_settings.name + ".json");
    const std::string logPath = m_folder / (m_settings.name + ".log");
    std::ofstream(settingsPath) << platform::encodeSettings(m_settings);

    const std::string program = m_program;
    const std::string settings = "--settings=" + settingsPath;
    const std::string port = "--metrics_port=" + std::to_string(m_settings.metricsPort);
    const std::string policy = "--policy=" + m_policyPath.string();
    const std::array<const char *, 5> arguments {program.c_str(), settings.c_str(), port.c_str(),
                                                 m_policyPath.empty() ? nullptr : policy.c_str(),
                                                 nullptr};
    m_process = ::fork();
    if (m_process < 0)
        throw std::system_error(errno, std::generic_category(), program);
    if (m_process == 0)
        execInstance(logPath.c_str(), arguments.data());
}

void entry_program::signal(int number) const
{
    if (isRunning())
        ::kill(m_process, number);
}

std::optional<int> entry_program::pollExitStatus()
{
    int status = 0;
    if (!isRunning() || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = 0;
    return status;
}

} // namespace chicoryhead::standin
