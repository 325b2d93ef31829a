#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <cstdint>

namespace lagoondeck {

/// Adaptive limit on the sub-requests that this instance may have in flight at one target. Each
/// instance adapts it independently: the limit increases additively while the target keeps up and
/// decreases multiplicatively when the target's queue grows. After the target has shed a
/// sub-request, this instance backs off for about the time in which one of the target's slots
/// becomes free, and longer with each consecutive shed. On average an instance can therefore use
/// less than one slot of the target.
class InFlightLimit
{
public:
    bool allows(std::uint32_t inFlight, Instant now) const;

    /// Called when a sub-request is answered. recentLatency includes queueing at the target,
    /// baselineLatency does not. isLimitReached is true when the limit was reached before this
    /// answer, and ceiling is the number of sub-requests that the connections can carry.
    void onAnswered(Duration recentLatency, Duration baselineLatency, bool isLimitReached,
                    std::uint32_t ceiling, Instant now);
    /// Called when the target refuses a sub-request because it is overloaded.
    void onShed(Duration baselineLatency, std::uint32_t slots, Instant now, RandomEngine &random);

    /// Returns the limit, rounded down to whole sub-requests.
    std::uint32_t value() const;
    /// Returns the time until which no sub-request is sent.
    Instant backoffEnd() const { return this->backoffUntil; }

private:
    void shrink(double factor, Duration pause, Instant now);

    /// Starts above any connection share; the first answer reduces it to the ceiling.
    double limit = 64.0;
    Instant backoffUntil {};
    std::uint32_t consecutiveSheds = 0;
    Instant nextShrinkAt {};
};

} // namespace lagoondeck
