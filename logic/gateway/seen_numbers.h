#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace lagoondeck {

/// The random numbers of the latest reports that members pass on, to detect duplicates. A report
/// may arrive more than once while the members' views of the membership differ.
class SeenNumbers
{
public:
    /// Adds a number. Returns true if it was not seen before.
    bool add(std::uint64_t number);

private:
    /// Oldest first.
    std::deque<std::uint64_t> numbers;
};

} // namespace lagoondeck
