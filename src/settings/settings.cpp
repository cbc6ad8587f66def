/**
 * @file settings.cpp
 * Reads a settings file with inih and validates it as a whole.
 */

#include "settings_func.h"

#include "core/core_error.h"
#include "setting_description.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace chicoryhead {

namespace {

constexpr const char *hiddenValue = "(hidden)";

/// A value as it stands in the file.
struct raw_value
{
    std::string text;
    int line = 0;
};

using setting_name = std::pair<std::string, std::string>; ///< section and key

/** State of one run of inih over a text; inih calls back readLine() and takeValue(). */
struct file_reader
{
    std::istringstream text;
    std::string file;
    std::vector<setting_problem> *problems = nullptr;
    std::map<setting_name, raw_value> values;
    std::string lineText;
    int line = 0;

    void report(int where, const setting_name &name, std::string value, std::string message)
    {
        problems->push_back(
            {file, where, name.first, name.second, std::move(value), std::move(message)});
    }
};

const setting_description *findDescription(const setting_name &name)
{
    for (const auto &description : settingDescriptions()) {
        if (description.section == name.first && description.key == name.second)
            return &description;
    }
    return nullptr;
}

bool isKnownSection(const std::string &section)
{
    const auto descriptions = settingDescriptions();
    return std::any_of(descriptions.begin(), descriptions.end(),
                       [&section](const auto &d) { return d.section == section; });
}

/** Text of a value for problems. A misspelt key or section may belong to a secret. */
std::string shownValue(const setting_description *description, const std::string &value)
{
    const bool mayBeShown = description != nullptr && description->kind != setting_kind::Secret;
    return mayBeShown || value.empty() ? value : hiddenValue;
}

/** Passes one line to inih. A line that does not fit its buffer would be split silently. */
char *readLine(char *buffer, int size, void *user)
{
    auto &reader = *static_cast<file_reader *>(user);
    if (!std::getline(reader.text, reader.lineText))
        return nullptr;
    ++reader.line;
    // The buffer also holds the line break and the terminating zero.
    const std::size_t room = static_cast<std::size_t>(size) - 2;
    const bool isTooLong = reader.lineText.size() > room;
    if (isTooLong || reader.lineText.find('\0') != std::string::npos) {
        reader.report(reader.line, {}, {},
                      isTooLong ? "line is longer than " + std::to_string(room) + " characters"
                                : "line contains a zero byte");
        reader.lineText.clear();
    }
    std::memcpy(buffer, reader.lineText.c_str(), reader.lineText.size());
    std::memcpy(buffer + reader.lineText.size(), "\n", 2);
    return buffer;
}

/** Takes one key and value from inih. Always succeeds, so that inih reports malformed lines only.
 */
int takeValue(void *user, const char *section, const char *key, const char *value)
{
    auto &reader = *static_cast<file_reader *>(user);
    const setting_name name {section, key};
    const auto *description = findDescription(name);
    if (description == nullptr) {
        const bool known = isKnownSection(name.first);
        reader.report(reader.line, name, shownValue(nullptr, value),
                      known ? "unknown key; docs/settings.md lists the keys of this section"
                            : "unknown section; docs/settings.md lists the sections");
        return 1;
    }

    const auto [entry, isNew] = reader.values.try_emplace(name, raw_value {value, reader.line});
    if (isNew)
        return 1;
    // inih passes an indented line as another value of the key before it.
    const bool continues = reader.lineText.starts_with(' ') || reader.lineText.starts_with('\t');
    if (continues && description->kind == setting_kind::EndpointList) {
        entry->second.text += value;
        return 1;
    }
    reader.report(reader.line, name, shownValue(description, value),
                  "given before in line " + std::to_string(entry->second.line)
                      + "; a key is allowed once");
    return 1;
}

void convertValues(file_reader &reader, daemon_settings &settings)
{
    for (const auto &description : settingDescriptions()) {
        const setting_name name {description.section, description.key};
        const auto found = reader.values.find(name);
        const bool isGiven = found != reader.values.end();
        if (!isGiven && description.isRequired) {
            reader.report(0, name, {}, "missing; allowed: " + allowedValues(description));
            continue;
        }
        const std::string text =
            isGiven ? found->second.text : std::string(description.defaultValue);
        // "token =" is the same as no token; a number or an address must not be empty.
        if (text.empty() && description.defaultValue.empty() && !description.isRequired)
            continue;
        const auto value = parseSettingValue(description, text);
        if (value) {
            description.assign(settings, value.value());
            continue;
        }
        reader.report(found->second.line, name, shownValue(&description, text),
                      "not allowed; allowed: " + allowedValues(description));
    }
}

int lineOf(const file_reader &reader, const setting_name &name)
{
    const auto found = reader.values.find(name);
    return found == reader.values.end() ? 0 : found->second.line;
}

/** Checks the rules that concern more than one setting. */
void checkTogether(file_reader &reader, const daemon_settings &settings)
{
    if (settings.drainLimit < settings.drainQuiet) {
        const setting_name name {"drain", "limit_ms"};
        reader.report(lineOf(reader, name), name, std::to_string(settings.drainLimit.count()),
                      "less than drain.quiet_ms; allowed: at least "
                          + std::to_string(settings.drainQuiet.count()));
    }
    if (settings.data == settings.peer) {
        const setting_name name {"listen", "peer"};
        reader.report(lineOf(reader, name), name, toString(settings.peer),
                      "the same as listen.data; allowed: another UDP address or port");
    }
    if (settings.peer.address == 0) {
        const setting_name name {"listen", "peer"};
        reader.report(lineOf(reader, name), name, toString(settings.peer),
                      "other instances cannot send to it; allowed: an address of this machine");
    }
}

} // namespace

result<daemon_settings> parseSettingsText(const std::string &text, const std::string &file,
                                          std::vector<setting_problem> &problems)
{
    file_reader reader;
    reader.text.str(text);
    reader.file = file;
    reader.problems = &problems;
    const std::size_t before = problems.size();

    const int malformedLine = ini_parse_stream(readLine, &reader, takeValue, &reader);
    if (malformedLine != 0)
        reader.report(malformedLine, {}, {},
                      "malformed line; allowed: [section], key = value, or a comment after ; or #");

    daemon_settings settings;
    convertValues(reader, settings);
    if (problems.size() == before)
        checkTogether(reader, settings);
    std::stable_sort(problems.begin() + static_cast<std::ptrdiff_t>(before), problems.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
    if (problems.size() != before)
        return error::ValidationFailed;
    return settings;
}

result<daemon_settings> parseSettings(const std::string &file,
                                      std::vector<setting_problem> &problems)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.good() && !stream.eof()) {
        problems.push_back({file, 0, {}, {}, {}, "cannot be read"});
        return error::NotFound;
    }
    return parseSettingsText(text, file, problems);
}

std::string formatProblem(const setting_problem &problem)
{
    std::string text = problem.file;
    if (problem.line != 0)
        text += ":" + std::to_string(problem.line);
    text += ": ";
    if (!problem.key.empty())
        text += "[" + problem.section + "] " + problem.key + " = \"" + problem.value + "\": ";
    return text + problem.message;
}

} // namespace chicoryhead
