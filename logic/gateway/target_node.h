#pragma once

#include "core/target_record.h"
#include "core/time.h"

#include <cstdint>
#include <set>

namespace lagoondeck {

/// What this instance knows about one target from the store and from its own requests.
struct TargetNode
{
    TargetRecord record;
    /// False if the store does not list the target any more or if it is leaving; it then gets no
    /// new requests.
    bool usable = true;
    /// Whether the target's own replies said that it is leaving. The store may not know it yet.
    bool hasAnnouncedLeaving = false;
    /// How many requests of this instance are running at the target.
    std::uint32_t inFlight = 0;
    /// When each of these requests was sent.
    std::multiset<Instant> sendTimes;
    /// The ratio of the target's latency to the route's median; 1 is normal.
    double slowness = 1.0;
    /// The fraction of its requests that failed, from 0 to 1, weighted towards recent ones.
    double failureRate = 0.0;
    std::uint32_t consecutiveFailures = 0;
    /// When slowness and failureRate were last updated.
    Instant learnedAt {};
    /// Until then other replicas are preferred.
    Instant avoidUntil {};
    /// Until then the target wants no requests of this instance.
    Instant pausedUntil {};
    /// Until then the target is still warming up after its start.
    Instant warmupUntil {};
    /// Returns true if no request was answered since the last failure.
    bool isFailing() const { return this->consecutiveFailures > 0; }
};

} // namespace lagoondeck
