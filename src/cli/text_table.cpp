/**
 * @file text_table.cpp
 * Plain-text tables with aligned columns.
 */

#include "text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryhead {

std::string join(const std::set<std::string> &words, std::string_view separator)
{
    std::string text;
    for (const std::string &word : words) {
        if (!text.empty())
            text += separator;
        text += word;
    }
    return text;
}

text_table::text_table(std::vector<std::string> heading)
{
    m_rows.push_back(std::move(heading));
}

void text_table::addRow(std::vector<std::string> row)
{
    assert(row.size() == m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void text_table::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line += std::string(widths[i] - row[i].size() + 2, ' ');
        }
        out << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
    }
}

} // namespace chicoryhead
