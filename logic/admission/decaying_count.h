#pragma once

#include "core/time.h"

#include <cmath>

namespace lagoondeck {

/// Exponentially decaying count of events. At a steady event rate the count converges to that rate
/// in events per second.
class DecayingCount
{
public:
    void add(double amount, Instant now)
    {
        this->count = this->at(now) + amount;
        this->updatedAt = now;
    }

    double at(Instant now) const
    {
        const std::chrono::duration<double> age = now - this->updatedAt;
        return this->count * std::exp(-age.count());
    }

private:
    double count = 0.0;
    Instant updatedAt {};
};

} // namespace lagoondeck
