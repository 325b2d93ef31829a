#pragma once

#include <cstdint>
#include <utility>

namespace lagoondeck {

/// Whether the store answers.
class StoreHealth
{
public:
    /// Returns true when the store had been away.
    bool onAnswered()
    {
        this->failures = 0;
        return std::exchange(this->away, false);
    }

    /// Returns true when the store was there until now.
    bool onFailed()
    {
        ++this->failures;
        return !std::exchange(this->away, true);
    }

    bool isAway() const { return this->away; }
    std::uint32_t failuresInRow() const { return this->failures; }

private:
    bool away = false;
    std::uint32_t failures = 0;
};

} // namespace lagoondeck
