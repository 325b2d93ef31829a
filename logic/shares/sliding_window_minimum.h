#pragma once

#include "core/time.h"

#include <deque>

namespace lagoondeck {

/// The minimum of the values that applied within a sliding time window. A lower value takes effect
/// at once. A higher one takes effect only after the window, when all other instances know the
/// reason for it.
class SlidingWindowMinimum
{
public:
    void set(double value, Instant now, Duration window)
    {
        // The last value set before the window still applied at its start.
        while (this->values.size() > 1 && this->values[1].since <= now - window) {
            this->values.pop_front();
        }
        // From the time when the removed larger value was set, no value has been below the new one.
        Instant since = now;
        while (!this->values.empty() && this->values.back().value >= value) {
            since = this->values.back().since;
            this->values.pop_back();
        }
        this->values.push_back({since, value});
    }
    double get() const { return this->values.empty() ? 0.0 : this->values.front().value; }

private:
    struct Entry
    {
        Instant since {};
        double value = 0.0;
    };

    /// Ascending in time and value. All values set since an item are at least as large as it.
    std::deque<Entry> values;
};

} // namespace lagoondeck
