/**
 * @file entry_program.h
 * Runs one instance as a separate process, with its settings file and its log.
 */

#pragma once

#include "core/core_type.h"
#include "settings/entry_settings_type.h"

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>

namespace chicoryhead::standin {

/** Runs the program of an instance; the process is killed when the object is destroyed. */
class entry_program
{
public:
    /**
     * @param folder directory for the settings and the log; each start appends to the log.
     * @param policyPath policy file; empty for none.
     */
    entry_program(std::filesystem::path program, std::filesystem::path folder,
                  entry_settings settings, std::filesystem::path policyPath = {});
    ~entry_program();
    entry_program(const entry_program &) = delete;
    entry_program &operator=(const entry_program &) = delete;

    /** Starts the process. @throw std::system_error if the fork fails. */
    void start();

    /** Sends a signal to the process if it runs. */
    void signal(int number) const;

    /** Returns the status from waitpid() once after the process has ended; does not block. */
    std::optional<int> pollExitStatus();

    bool isRunning() const { return m_process > 0; }

    /** Process ID; changes with each start. */
    pid_t process() const { return m_process; }

    const entry_settings &settings() const { return m_settings; }

private:
    std::filesystem::path m_program;
    std::filesystem::path m_folder;
    entry_settings m_settings;
    std::filesystem::path m_policyPath; ///< empty for none
    pid_t m_process = 0;                ///< 0 while no process runs
};

} // namespace chicoryhead::standin
