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
            this->reset(burst, now);
        }
        if (this->refill(ratePerSecond, burst, now) < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    /// Sets the number of tokens. A bucket that is not set starts full.
    void reset(double count, Instant now)
    {
        this->started = true;
        this->tokens = count;
        this->filledAt = now;
    }

    /// Adds the tokens of the time since the last call, up to the burst. Returns the number of
    /// tokens, which is negative if more were taken than there were.
    double refill(double ratePerSecond, double burst, Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - this->filledAt).count();
        this->tokens = std::min(burst, this->tokens + seconds * ratePerSecond);
        this->filledAt = now;
        return this->tokens;
    }

    /// Adds tokens, or takes them if the count is negative, without a limit.
    void add(double count) { this->tokens += count; }

private:
    bool started = false;
    double tokens = 0.0;
    Instant filledAt {};
};

} // namespace lagoondeck
