#include "operator/table.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lagoondeck {

Table::Table(std::vector<std::string> header)
{
    this->rows.push_back(std::move(header));
}

void Table::add(std::vector<std::string> row)
{
    this->rows.push_back(std::move(row));
}

std::string Table::toText() const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const auto &row : this->rows) {
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : this->rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace lagoondeck
