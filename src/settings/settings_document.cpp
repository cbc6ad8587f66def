/**
 * @file settings_document.cpp
 * Writes the settings page and the example file from the table of settings.
 */

#include "setting_description.h"
#include "settings_func.h"

#include <sstream>

namespace chicoryhead {

namespace {

constexpr std::size_t commentWidth = 98;

constexpr const char *pageHead = R"(# Settings

`chicoryheadd` reads its settings from one INI file when it starts, and refuses to start when the
file has a problem. It then prints every problem with file, line, section, key, value and what is
allowed; `chicoryhead settings check FILE` does the same without starting anything. Unknown keys and
sections, a key given twice and malformed lines are problems too. Values of secrets and of unknown
keys are not printed.

A comment starts with `;` or `#` at the start of a line, or with `;` after a space behind a value. A
line has at most 198 characters. A list goes on in the next line if that line is indented. Only a
key whose default is "none" may have an empty value.

This page and [chicoryheadd.example.ini](chicoryheadd.example.ini) are written by
`chicoryhead settings page` and `chicoryhead settings example` from `src/settings/table`; a test
compares them with it.
)";

constexpr const char *exampleHead =
    R"(# Example settings of chicoryheadd. Keys that are commented out have the default shown.
# docs/settings.md describes all keys.
)";

std::string defaultText(const setting_description &description)
{
    if (description.isRequired)
        return "required";
    if (description.defaultValue.empty())
        return "none";
    return "`" + std::string(description.defaultValue) + "`";
}

/** Writes text as comment lines of limited width. */
void writeComment(std::ostream &out, std::string_view text)
{
    std::istringstream words {std::string(text)};
    std::string line = "#";
    for (std::string word; words >> word;) {
        if (line.size() + 1 + word.size() > commentWidth) {
            out << line << '\n';
            line = "#";
        }
        line += ' ' + word;
    }
    out << line << '\n';
}

} // namespace

std::string renderSettingsPage()
{
    std::ostringstream out;
    out << pageHead;
    std::string_view section;
    for (const auto &description : settingDescriptions()) {
        if (description.section != section) {
            section = description.section;
            out << "\n## [" << section << "]\n\n"
                << "| Key | Allowed | Unit | Default | Meaning |\n"
                << "| --- | --- | --- | --- | --- |\n";
        }
        out << "| `" << description.key << "` | " << allowedValues(description) << " | "
            << (description.unit.empty() ? "-" : description.unit) << " | "
            << defaultText(description) << " | " << description.summary << " |\n";
    }
    return out.str();
}

std::string renderExampleFile()
{
    std::ostringstream out;
    out << exampleHead;
    std::string_view section;
    for (const auto &description : settingDescriptions()) {
        if (description.section != section) {
            section = description.section;
            out << "\n[" << section << "]\n";
        }
        writeComment(out, description.summary);
        std::string note = "Allowed: " + allowedValues(description) + ".";
        if (!description.unit.empty())
            note += " Unit: " + std::string(description.unit) + ".";
        writeComment(out, note);
        const bool isDefault = description.example == description.defaultValue;
        out << (isDefault && !description.isRequired ? "# " : "") << description.key << " ="
            << (description.example.empty() ? "" : " ") << description.example << '\n';
    }
    return out.str();
}

} // namespace chicoryhead
