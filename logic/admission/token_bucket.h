#pragma once

#include "core/time.h"

#include <algorithm>

namespace lagoondeck {

/// Limits a rate of events per second and allows a bounded burst.
class TokenBucket
{
public:
    /// Consumes one token and returns true, or returns false when none is left. The burst is the
    /// capacity of the bucket in tokens.
    bool tryTake(double ratePerSecond, double burst, Instant now)
    {
        if (!this->started) {
            this->started = true;
            this->tokens = burst;
            this->filledAt = now;
        }
        const double seconds = std::chrono::duration<double>(now - this->filledAt).count();
        this->tokens = std::min(burst, this->tokens + seconds * ratePerSecond);
        this->filledAt = now;
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    bool started = false;
    double tokens = 0.0;
    Instant filledAt {};
};

} // namespace lagoondeck
