#pragma once

#include "core/time.h"

namespace lagoondeck {

/// The time limits that keep a claim alive for as long as any instance may still accept its
/// request.
///
/// An instance accepts a request until it is maximumAge old by a clock that may be off by
/// clockError, and sends it up to sendWindow later. A claim made when the request seemed clockError
/// + futureAllowance too young must outlive that, hence retention is the sum of all five.
struct ClaimTimes
{
    /// The minimum lifetime of a claim.
    Duration retention {};
    /// Older requests are refused.
    Duration maximumAge {};
    /// How far a request's issue time may lie in the future of this instance's clock.
    Duration futureAllowance {};
    /// The maximum error of an instance's or caller's wall clock.
    Duration clockError {};
    /// The maximum time from accepting a request to sending it.
    Duration sendWindow {};
    /// The claims written within this time share one lease.
    Duration leaseBucket {};

    /// The time to live of a lease, long enough for the last claim of its bucket.
    Duration leaseTime() const { return this->retention + this->leaseBucket; }

    static constexpr ClaimTimes of(Duration retention)
    {
        const Duration unit = retention / 15;
        return {retention, unit * 10, unit, unit, unit * 2, unit * 5};
    }
};

} // namespace lagoondeck
