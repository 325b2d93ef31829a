#pragma once

#include "core/time.h"

namespace lagoondeck {

/// The times that keep a claim alive for as long as its request may still be taken anywhere.
///
/// A request may be taken until it is maximumAge old by a clock that is clockError wrong, and sent
/// sendWindow later. A claim made when the request seemed clockError + futureAllowance too young
/// must outlive that, hence retention is the sum of all five.
struct ClaimTimes
{
    /// A claim lasts at least this long.
    Duration retention {};
    /// An older request is refused.
    Duration maximumAge {};
    /// A request may be issued this far in the future of this node's clock.
    Duration futureAllowance {};
    /// How wrong a node's or caller's wall clock may be.
    Duration clockError {};
    /// The longest from taking a request to sending it.
    Duration sendWindow {};
    /// Claims of this time share one lease.
    Duration leaseBucket {};

    /// What is asked of the store for a lease, so that its last claim lasts long enough.
    Duration leaseTime() const { return this->retention + this->leaseBucket; }

    static constexpr ClaimTimes of(Duration retention)
    {
        const Duration unit = retention / 15;
        return {retention, unit * 10, unit, unit, unit * 2, unit * 5};
    }
};

} // namespace lagoondeck
