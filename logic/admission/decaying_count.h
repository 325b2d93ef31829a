#pragma once

#include "core/time.h"

#include <cmath>

namespace lagoondeck {

/// Counts events, the recent ones more: at a steady rate it stands at that rate in events a second.
class DecayingCount
{
public:
    void add(double amount, Instant now)
    {
        this->count = this->at(now) + amount;
        this->since = now;
    }

    double at(Instant now) const
    {
        const std::chrono::duration<double> age = now - this->since;
        return this->count * std::exp(-age.count());
    }

private:
    double count = 0.0;
    Instant since {};
};

} // namespace lagoondeck
