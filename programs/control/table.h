#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Table of texts that is printed with aligned columns or as JSON.
class Table
{
public:
    /// @brief Creates an empty table.
    /// @param columns names of the columns
    explicit Table(std::vector<std::string> columns);

    /// @brief Adds a row with one text per column.
    void add(std::vector<std::string> row);

    /// @brief Prints the table.
    /// @param json prints a JSON list of objects instead of aligned columns
    void print(std::ostream &out, bool json) const;

private:
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace waxwing::control
