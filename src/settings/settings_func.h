/**
 * @file settings_func.h
 * Parsing and documentation of the settings file.
 */

#pragma once

#include "settings_type.h"

#include <string>
#include <vector>

namespace chicoryhead {

/**
 * Reads and validates a settings file as a whole.
 * @param problems gets every problem found, in the order of the file; missing keys first.
 * @return the settings; error::NotFound when the file cannot be read, error::ValidationFailed when
 * there are problems.
 */
result<daemon_settings> parseSettings(const std::string &file,
                                      std::vector<setting_problem> &problems);

/**
 * Validates the text of a settings file.
 * @param file name for the problems.
 * @return the settings, or error::ValidationFailed.
 */
result<daemon_settings> parseSettingsText(const std::string &text, const std::string &file,
                                          std::vector<setting_problem> &problems);

/** Formats a problem in one line: file:line: [section] key = "value": message. */
std::string formatProblem(const setting_problem &problem);

/** The page docs/settings.md. */
std::string renderSettingsPage();

/** The commented example docs/chicoryheadd.example.ini. */
std::string renderExampleFile();

} // namespace chicoryhead
