#include "table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cctype>
#include <ostream>
#include <utility>

namespace waxwing::control
{

Table::Table(std::vector<std::string> columns)
    : m_columns(std::move(columns))
{
}

void Table::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

void Table::print(std::ostream &out, bool json) const
{
    if (json) {
        boost::json::array list;
        for (const auto &row : m_rows) {
            boost::json::object object;
            for (std::size_t i = 0; i < m_columns.size(); ++i) {
                std::string name = m_columns[i];
                std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return c == ' ' ? '_' : static_cast<char>(std::tolower(c)); });
                object[name] = row[i];
            }
            list.emplace_back(std::move(object));
        }
        out << boost::json::serialize(list) << '\n';
        return;
    }
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < m_columns.size(); ++i) {
        widths.push_back(m_columns[i].size());
        for (const auto &row : m_rows) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    const auto printRow = [&](const std::vector<std::string> &row) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out << row[i];
            if (i + 1 < row.size()) {
                out << std::string(widths[i] - row[i].size() + 2, ' ');
            }
        }
        out << '\n';
    };
    printRow(m_columns);
    std::for_each(m_rows.begin(), m_rows.end(), printRow);
}

} // namespace waxwing::control
