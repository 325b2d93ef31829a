#pragma once

#include "core/time.h"

#include <cstdint>
#include <utility>

namespace lagoondeck {

/// Whether the store answers, and since when.
class StoreHealth
{
public:
    /// Returns true when the store had been away.
    bool onAnswered(Instant now)
    {
        this->answeredAt = now;
        this->failures = 0;
        if (!this->away) {
            return false;
        }
        this->away = false;
        this->returnedAt = now;
        return true;
    }

    /// Returns true when the store was there until now.
    bool onFailed()
    {
        ++this->failures;
        return !std::exchange(this->away, true);
    }

    bool isAway() const { return this->away; }
    std::uint32_t failuresInRow() const { return this->failures; }
    /// When it last answered.
    Instant lastAnswer() const { return this->answeredAt; }
    /// When it came back from its last absence.
    Instant lastReturn() const { return this->returnedAt; }

private:
    bool away = false;
    std::uint32_t failures = 0;
    Instant answeredAt {};
    Instant returnedAt {};
};

} // namespace lagoondeck
