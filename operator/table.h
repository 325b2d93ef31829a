#pragma once

#include <string>
#include <vector>

namespace lagoondeck {

/// Text in columns, each as wide as its widest cell.
class Table
{
public:
    explicit Table(std::vector<std::string> header);

    void add(std::vector<std::string> row);
    std::string toText() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace lagoondeck
