/**
 * @file entry_program.cpp
 * Start, signals and end of an instance's process.
 */

#include "entry_program.h"

#include "platform/standin_codec.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

namespace chicoryhead::standin {

entry_program::entry_program(std::filesystem::path program, std::filesystem::path folder,
                             entry_settings settings)
    : m_program(std::move(program)), m_folder(std::move(folder)), m_settings(std::move(settings))
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

    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = m_program;
    std::string settings = "--settings=" + settingsPath;
    std::string port = "--metrics_port=" + std::to_string(m_settings.metricsPort);
    const std::array<char *, 4> arguments {program.data(), settings.data(), port.data(), nullptr};
    const int failure =
        ::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_process = 0;
        throw std::system_error(failure, std::generic_category(), program);
    }
}

void entry_program::signal(int number) const
{
    if (isRunning())
        ::kill(m_process, number);
}

std::optional<int> entry_program::takeEnd()
{
    int status = 0;
    if (!isRunning() || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = 0;
    return status;
}

} // namespace chicoryhead::standin
