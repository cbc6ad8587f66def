/**
 * @file settings_file_base.h
 * The settings file of an entry process.
 */

#pragma once

#include "entry_process_base.h"
#include "settings/entry_settings_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicoryhead {

/** Reads the file and detects changes; errors go to standard error once per content. */
class settings_file
{
public:
    /** @param metricsPort from the command line; not part of the file. */
    settings_file(std::string path, std::uint16_t metricsPort);

    /** Reads the file. A file that can't be read counts as changed to invalid settings. */
    settings_update read();

private:
    std::optional<entry_settings> decode(const std::string &text) const;

    std::string m_path;
    std::uint16_t m_metricsPort;
    std::optional<std::string> m_lastText; ///< content at the last read
};

} // namespace chicoryhead
