/**
 * @file policy_codec.cpp
 * Parses a policy with the INI reader of Boost.PropertyTree, and checks what that reader accepts.
 */

#include "policy_codec_func.h"

#include "table/policy_table.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace chicoryhead {

namespace {

/// Maximum length of names and values in messages; a longer one is cut off.
constexpr std::size_t maxShownBytes = 64;

std::string shorten(std::string_view text)
{
    return std::string(text.substr(0, maxShownBytes));
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r\v\f";
    const auto begin = text.find_first_not_of(spaces);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(spaces) - begin + 1);
}

bool isKnownSection(std::string_view section)
{
    return std::any_of(detail::policyKeys.begin(), detail::policyKeys.end(),
                       [&](const detail::policy_key &row) { return row.section == section; });
}

/** Calls a function with the number from 1 and the trimmed text of each line. */
template<typename Visit>
void forEachLine(std::string_view text, Visit visit)
{
    unsigned long number = 0;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        visit(++number, trim(text.substr(begin, end - begin)));
        begin = end + 1;
    }
}

/** Section name in a line that starts with '['; the whole rest if there is no ']'. */
std::string_view sectionOf(std::string_view line)
{
    return trim(line.substr(1, line.find(']') - 1));
}

/**
 * Checks the section headers. The reader drops sections without keys, with their names and any
 * duplicates, and ignores text after the ']'.
 */
void checkSections(std::string_view text, std::vector<policy_problem> &problems)
{
    std::set<std::string_view> seen;
    forEachLine(text, [&](unsigned long /*number*/, std::string_view line) {
        if (!line.starts_with('['))
            return;
        const auto section = sectionOf(line);
        if (!line.ends_with(']') || line.find(']') != line.size() - 1)
            problems.push_back({shorten(section), {}, "expected one section name in brackets"});
        else if (!isKnownSection(section))
            problems.push_back({shorten(section), {}, "unknown section"});
        else if (!seen.insert(section).second)
            problems.push_back({shorten(section), {}, "duplicate section"});
    });
}

/** Finds the section and key of a line that the reader rejected. */
policy_problem describeRejectedLine(std::string_view text, unsigned long rejected,
                                    const std::string &reason)
{
    policy_problem problem {{}, {}, "line " + std::to_string(rejected) + ": " + reason};
    forEachLine(text, [&](unsigned long number, std::string_view line) {
        if (number <= rejected && line.starts_with('['))
            problem.section = shorten(sectionOf(line));
        else if (number == rejected)
            problem.key = shorten(trim(line.substr(0, line.find('='))));
    });
    return problem;
}

void setKey(const std::string &section, const std::string &key, const std::string &value,
            traffic_policy &policy, std::vector<policy_problem> &problems)
{
    const auto row = std::find_if(detail::policyKeys.begin(), detail::policyKeys.end(),
                                  [&](const detail::policy_key &known) {
                                      return known.section == section && known.key == key;
                                  });
    if (row == detail::policyKeys.end())
        problems.push_back({section, shorten(key), "unknown key"});
    else if (!row->set(policy, value))
        problems.push_back(
            {section, key, "\"" + shorten(value) + "\" is not " + std::string(row->expected)});
}

} // namespace

std::string toString(const policy_problem &problem)
{
    std::string text;
    if (!problem.section.empty())
        text = "[" + problem.section + "] ";
    if (!problem.key.empty())
        text += problem.key;
    else if (!text.empty())
        text.pop_back();
    return text.empty() ? problem.reason : text + ": " + problem.reason;
}

traffic_policy parsePolicy(std::string_view text, std::vector<policy_problem> &problems)
{
    if (text.size() > maxPolicyBytes) {
        problems.push_back(
            {{}, {}, "file is larger than " + std::to_string(maxPolicyBytes) + " bytes"});
        return {};
    }
    checkSections(text, problems);
    if (!problems.empty())
        return {};
    boost::property_tree::ptree tree;
    std::istringstream stream {std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &failure) {
        problems.push_back(describeRejectedLine(text, failure.line(), failure.message()));
        return {};
    }
    traffic_policy policy;
    for (const auto &[section, keys] : tree) {
        // Sections without keys are not in the tree, so this is a key outside a section.
        if (keys.empty())
            problems.push_back({{}, shorten(section), "key outside a section"});
        for (const auto &[key, value] : keys)
            setKey(section, key, value.data(), policy, problems);
    }
    return problems.empty() ? policy : traffic_policy {};
}

} // namespace chicoryhead
