#pragma once

#include "core/target_record.h"
#include "core/time.h"

#include <cstdint>
#include <set>

namespace lagoondeck {

/// What this instance knows of one target, from the store and from its own requests.
struct TargetNode
{
    TargetRecord record;
    /// The store names it no longer, or it is leaving: no new work.
    bool usable = true;
    /// Requests of this instance that are out at the target.
    std::uint32_t inFlight = 0;
    /// When each of those was sent.
    std::multiset<Instant> sentAt;
    /// Its latency against the route's median; 1 is usual.
    double slowness = 1.0;
    /// The part of its requests that failed, 0 to 1, the recent ones most.
    double failureRate = 0.0;
    std::uint32_t failuresInRow = 0;
    Instant learnedAt {};
    /// It is left alone until then, as long as another replica can serve.
    Instant avoidUntil {};
    /// It is still slow after its start until then.
    Instant warmUntil {};
    /// No request has been answered since its last failure.
    bool failing() const { return this->failuresInRow > 0; }
};

} // namespace lagoondeck
