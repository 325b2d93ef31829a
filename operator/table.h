#pragma once

#include <string>
#include <vector>

namespace lagoondeck {

/// A text table whose columns are as wide as their widest cell.
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
