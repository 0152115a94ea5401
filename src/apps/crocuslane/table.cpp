#include "table.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuslane {

namespace {

bool isNumber(const std::string &cell)
{
    return !cell.empty() && cell.find_first_not_of("0123456789.-+%") == std::string::npos;
}

} // namespace

table::table(std::vector<std::string> headings)
    : m_rows{std::move(headings)}
{
}

void table::addRow(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string result;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            const std::string &cell = row[column];
            line += isNumber(cell) ? fmt::format("{:>{}}", cell, widths[column])
                                   : fmt::format("{:<{}}", cell, widths[column]);
            line += "  ";
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + '\n';
    }
    return result;
}

} // namespace crocuslane
