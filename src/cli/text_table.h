/**
 * @file text_table.h
 * Plain-text tables with aligned columns.
 */

#pragma once

#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** Concatenates words, with a separator between them. */
std::string join(const std::set<std::string> &words, std::string_view separator);

/** A table of text cells; columns are padded to the widest cell. The first row is the heading. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /** Adds a row, which must have as many cells as the heading. */
    void addRow(std::vector<std::string> row);

    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace chicoryhead
