#pragma once

#include "core/time.h"

#include <algorithm>

namespace lagoondeck {

/// Admits a rate of queries a second with a bounded burst.
class TokenBucket
{
public:
    /// Takes one token if there is one. The burst is in tokens.
    bool take(double ratePerSecond, double burst, Instant now)
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
