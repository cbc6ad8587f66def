/**
 * @file text_table.h
 * Tables of text for people.
 */

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chicoryhead {

/** Rows of cells, the first one the heading; columns are padded to the widest cell. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /** Adds a row with as many cells as the heading. */
    void addRow(std::vector<std::string> row);

    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace chicoryhead
