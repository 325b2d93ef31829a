#include "logic/admission/service_load.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Priorities without queries for this long are inactive, and nothing is reserved for them.
constexpr Duration activeWindow = std::chrono::seconds(2);
/// Each lower priority leaves this additional fraction of the limit to the active priorities above
/// it.
constexpr double limitFractionPerRank = 0.15;
constexpr double minLimitFraction = 0.5;
/// Queries of the highest priority that may be in flight beyond the limit while lower priorities,
/// which can be reduced instead, are active.
constexpr double topPriorityHeadroom = 2.0;
constexpr double nearLimitFraction = 0.7;
/// An answer is assumed never to arrive faster than the service's lowest average latency divided by
/// this.
constexpr int infeasibleTimeLimitFactor = 3;

} // namespace

void ServiceLoad::onOffered(std::uint32_t priority, Instant now)
{
    this->priorityClasses[priority].offeredAt = now;
}

void ServiceLoad::onAdmitted(std::uint32_t priority)
{
    ++this->priorityClasses[priority].inFlight;
    ++this->totalInFlight;
}

void ServiceLoad::onAnswered(std::uint32_t priority, Duration latency, Duration deadline,
                             Instant now)
{
    const double deadlineFraction = static_cast<double>(latency.count())
            / static_cast<double>(std::max<Duration::rep>(deadline.count(), 1));
    this->limit.onAnswered(deadlineFraction, this->totalInFlight);
    this->latency.add(latency, now);
    this->release(priority);
}

void ServiceLoad::onMissed(std::uint32_t priority)
{
    this->limit.onMissed(this->totalInFlight);
    this->release(priority);
}

void ServiceLoad::onEnded(std::uint32_t priority)
{
    this->release(priority);
}

void ServiceLoad::release(std::uint32_t priority)
{
    PriorityClass &priorityClass = this->priorityClasses[priority];
    if (priorityClass.inFlight > 0) {
        --priorityClass.inFlight;
        --this->totalInFlight;
    }
}

bool ServiceLoad::isActive(const PriorityClass &priorityClass, Instant now) const
{
    return priorityClass.inFlight > 0 || now - priorityClass.offeredAt < activeWindow;
}

bool ServiceLoad::allows(std::uint32_t priority, Instant now, RandomEngine &random) const
{
    int rank = 0;
    bool hasActiveLower = false;
    std::uint32_t inFlightUpToPriority = 0;
    for (const auto &[otherPriority, priorityClass] : this->priorityClasses) {
        rank += otherPriority < priority && this->isActive(priorityClass, now) ? 1 : 0;
        hasActiveLower =
                hasActiveLower || (otherPriority > priority && this->isActive(priorityClass, now));
        inFlightUpToPriority += otherPriority <= priority ? priorityClass.inFlight : 0;
    }
    if (rank == 0 && hasActiveLower) {
        return static_cast<double>(inFlightUpToPriority)
                < this->limit.value() + topPriorityHeadroom;
    }
    return this->limit.allows(this->totalInFlight,
                              std::max(1.0 - limitFractionPerRank * rank, minLimitFraction),
                              random);
}

bool ServiceLoad::isNearLimit() const
{
    return static_cast<double>(this->totalInFlight) >= this->limit.value() * nearLimitFraction;
}

bool ServiceLoad::isTimeLimitInfeasible(Duration timeLimit) const
{
    return this->latency.hasEnoughSamples()
            && timeLimit * infeasibleTimeLimitFactor < this->latency.lowestMean();
}

Duration ServiceLoad::expectedLatency(Instant now) const
{
    return this->latency.hasEnoughSamples()
            ? this->latency.expected(this->latency.lowestMean(), now)
            : Duration::zero();
}

} // namespace lagoondeck
