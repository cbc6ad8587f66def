/**
 * @file settings_file.cpp
 * Reads and checks the settings file.
 */

#include "settings_file_base.h"

#include "platform/settings_codec.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>
#include <vector>

namespace chicoryhead {

settings_file::settings_file(std::string path, std::uint16_t metricsPort)
    : m_path(std::move(path)), m_metricsPort(metricsPort)
{
}

settings_update settings_file::read()
{
    std::ifstream file(m_path);
    std::ostringstream content;
    content << file.rdbuf();
    const std::string text = file ? content.str() : std::string();
    if (m_lastText && *m_lastText == text)
        return {false, std::nullopt};
    m_lastText = text;
    if (!file) {
        std::cerr << "chicoryhead-entry: " << m_path << ": can't read the settings file\n";
        return {true, std::nullopt};
    }
    return {true, decode(text)};
}

std::optional<entry_settings> settings_file::decode(const std::string &text) const
{
    std::vector<platform::settings_problem> problems;
    auto settings = platform::decodeSettings(text, problems);
    for (const auto &problem : problems)
        std::cerr << "chicoryhead-entry: " << m_path << ": " << problem.path << ' '
                  << problem.reason << '\n';
    if (!problems.empty())
        return std::nullopt;
    settings.metricsPort = m_metricsPort;
    return settings;
}

} // namespace chicoryhead
