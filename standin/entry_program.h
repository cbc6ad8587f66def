/**
 * @file entry_program.h
 * One instance as a process of its own, with its settings file and its log.
 */

#pragma once

#include "core/core_type.h"
#include "settings/entry_settings_type.h"

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>

namespace chicoryhead::standin {

/** Runs the program of an instance; the process is killed when the object goes. */
class entry_program
{
public:
    /** @param folder gets settings and log, which is continued by each start. */
    entry_program(std::filesystem::path program, std::filesystem::path folder,
                  entry_settings settings);
    ~entry_program();
    entry_program(const entry_program &) = delete;
    entry_program &operator=(const entry_program &) = delete;

    /** Starts the process. @throw std::system_error when no process can be made. */
    void start();

    /** Sends a signal to the process if it runs. */
    void signal(int number) const;

    /** Looks whether the process ended; gives what waitpid() told, once. */
    std::optional<int> pollExitStatus();

    bool isRunning() const { return m_process > 0; }

    /** Number of the process; changes with each start. */
    pid_t process() const { return m_process; }

    const entry_settings &settings() const { return m_settings; }

private:
    std::filesystem::path m_program;
    std::filesystem::path m_folder;
    entry_settings m_settings;
    pid_t m_process = 0; ///< 0 while none runs
};

} // namespace chicoryhead::standin
