#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <cstdint>

namespace lagoondeck {

/// How many sub-requests this instance may have in flight at one target. Each instance adapts it
/// alone: it grows by steps while the target keeps up, shrinks by a factor when the target's queue
/// grows, and after a refusal the target rests for about the time in which one of its slots frees,
/// longer with each refusal in a row, so that an instance's part of the target may be less than
/// one.
class InFlightLimit
{
public:
    bool allows(std::uint32_t inFlight, Instant now) const;

    /// An answer came. The usual latency is the target's without a queue, the recent one with it;
    /// full tells that the limit was reached, the ceiling is what the connections can carry.
    void onAnswered(Duration recent, Duration usual, bool full, std::uint32_t ceiling, Instant now);
    /// The target refused a sub-request for its load.
    void onShed(Duration usual, std::uint32_t slots, Instant now, RandomEngine &random);

    std::uint32_t whole() const;
    /// No sub-request is sent before this.
    Instant restsUntil() const { return this->restUntil; }

private:
    void shrink(double factor, Duration pause, Instant now);

    /// Above any connection share; the ceiling bounds it with the first answer.
    double limit = 64.0;
    Instant restUntil {};
    std::uint32_t shedsInRow = 0;
    Instant shrinkAgainAt {};
};

} // namespace lagoondeck
