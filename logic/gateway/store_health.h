#pragma once

#include <cstdint>
#include <utility>

namespace lagoondeck {

/// Tracks whether the store answers.
class StoreHealth
{
public:
    /// Records an answer. Returns true when the store was unavailable until now.
    bool onAnswered()
    {
        this->failures = 0;
        return std::exchange(this->unavailable, false);
    }

    /// Records a failed call. Returns true when the store was available until now.
    bool onFailed()
    {
        ++this->failures;
        return !std::exchange(this->unavailable, true);
    }

    bool isUnavailable() const { return this->unavailable; }
    std::uint32_t failuresInRow() const { return this->failures; }

private:
    bool unavailable = false;
    std::uint32_t failures = 0;
};

} // namespace lagoondeck
