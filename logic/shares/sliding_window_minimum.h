#pragma once

#include "core/time.h"

#include <deque>

namespace lagoondeck {

/// The smallest of the values set within a time. A lower value holds at once, a higher one only
/// after that time, when all other nodes have heard why.
class HeldMinimum
{
public:
    void set(double value, Instant now, Duration window)
    {
        // The last value before the window still held at its start.
        while (this->values.size() > 1 && this->values[1].since <= now - window) {
            this->values.pop_front();
        }
        // Since a higher value was set, no value lay below this one.
        Instant since = now;
        while (!this->values.empty() && this->values.back().value >= value) {
            since = this->values.back().since;
            this->values.pop_back();
        }
        this->values.push_back({since, value});
    }
    double get() const { return this->values.empty() ? 0.0 : this->values.front().value; }

private:
    struct Held
    {
        Instant since {};
        double value = 0.0;
    };

    /// Ascending in time and value; all values set since then are at least this one.
    std::deque<Held> values;
};

} // namespace lagoondeck
