#include "logic/gateway/seen_numbers.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Duplicates arrive within a second, and few instances send reports at the same time.
constexpr std::size_t maxNumbers = 256;

} // namespace

bool SeenNumbers::add(std::uint64_t number)
{
    if (std::ranges::find(this->numbers, number) != this->numbers.end()) {
        return false;
    }
    this->numbers.push_back(number);
    if (this->numbers.size() > maxNumbers) {
        this->numbers.pop_front();
    }
    return true;
}

} // namespace lagoondeck
