#pragma once

#include "core/time.h"
#include "logic/admission/concurrency_limit.h"
#include "logic/context.h"
#include "logic/selection/latency_estimate.h"

#include <cstdint>
#include <map>

namespace lagoondeck {

/// Tracks the queries of one service that this instance has in flight, by priority, and estimates
/// how many of them the service can sustain.
class ServiceLoad
{
public:
    /// Called for each query of the priority, before it is admitted or refused.
    void onOffered(std::uint32_t priority, Instant now);
    void onAdmitted(std::uint32_t priority);
    void onAnswered(std::uint32_t priority, Duration latency, Duration deadline, Instant now);
    void onMissed(std::uint32_t priority);
    /// Called when a query ends in a way that says nothing about the load of the service.
    void onEnded(std::uint32_t priority);

    /// Returns true when one more query of the priority may be admitted. While several priorities
    /// are active, only its own queries count for the highest one, which may exceed the limit
    /// slightly; each lower one leaves a part of the limit to those above it.
    bool allows(std::uint32_t priority, Instant now, RandomEngine &random) const;
    /// Returns true when most of the limit is in use, so that the rest must be divided fairly
    /// between callers.
    bool isNearLimit() const;
    /// Returns true when no query can be answered within this time.
    bool isTimeLimitInfeasible(Duration timeLimit) const;
    /// Returns the expected latency of a query, including queueing, or zero while it is not known.
    Duration expectedLatency(Instant now) const;
    double limitValue() const { return this->limit.value(); }
    std::uint32_t inFlight() const { return this->totalInFlight; }

private:
    struct PriorityClass
    {
        std::uint32_t inFlight = 0;
        Instant offeredAt {};
    };

    void release(std::uint32_t priority);
    bool isActive(const PriorityClass &priorityClass, Instant now) const;

    std::map<std::uint32_t, PriorityClass> priorityClasses;
    std::uint32_t totalInFlight = 0;
    ConcurrencyLimit limit;
    LatencyEstimate latency;
};

} // namespace lagoondeck
