#pragma once

#include <exception>
#include <string>
#include <utility>

namespace lagoondeck {

/// What a test throws to make a step fail.
class TestFailure : public std::exception
{
public:
    explicit TestFailure(std::string detail) : detail(std::move(detail)) { }

    const char *what() const noexcept override { return this->detail.c_str(); }

private:
    std::string detail;
};

} // namespace lagoondeck
