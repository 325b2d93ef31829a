#include "logic/gateway/delay_estimate.h"

#include <cmath>

namespace lagoondeck {

namespace {

/// Longer delays come from a pause of the process, which says nothing about the next ones.
constexpr Duration maxDelay = std::chrono::milliseconds(50);
constexpr std::chrono::duration<double> halfLife = std::chrono::seconds(10);

} // namespace

void DelayEstimate::add(Duration delay, Instant now)
{
    if (delay <= maxDelay && delay >= this->current(now)) {
        this->peak = delay;
        this->peakAt = now;
    }
}

Duration DelayEstimate::current(Instant now) const
{
    const std::chrono::duration<double> age = now - this->peakAt;
    return std::chrono::duration_cast<Duration>(this->peak * std::exp2(-age / halfLife));
}

} // namespace lagoondeck
