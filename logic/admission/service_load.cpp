#include "logic/admission/service_load.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A priority that was not asked for this long needs no room.
constexpr Duration presence = std::chrono::seconds(2);
/// Each priority leaves this part of the limit to those above it.
constexpr double partPerRank = 0.15;
constexpr double lowestPart = 0.5;
/// Queries of the highest priority beyond the limit, while there are lower ones to give way.
constexpr double highestHeadroom = 2.0;
constexpr double scarcePart = 0.7;
/// Answers come sooner than the lowest average by no more than this factor.
constexpr int hopelessFactor = 3;

} // namespace

void ServiceLoad::onOffered(std::uint32_t priority, Instant now)
{
    this->classes[priority].offeredAt = now;
}

void ServiceLoad::onAdmitted(std::uint32_t priority)
{
    ++this->classes[priority].inFlight;
    ++this->total;
}

void ServiceLoad::onAnswered(std::uint32_t priority, Duration latency, Duration deadline,
                             Instant now)
{
    const double part = static_cast<double>(latency.count())
            / static_cast<double>(std::max<Duration::rep>(deadline.count(), 1));
    this->limit.onAnswered(part, this->total);
    this->latency.add(latency, now);
    this->end(priority);
}

void ServiceLoad::onMissed(std::uint32_t priority)
{
    this->limit.onMissed(this->total);
    this->end(priority);
}

void ServiceLoad::onEnded(std::uint32_t priority)
{
    this->end(priority);
}

void ServiceLoad::end(std::uint32_t priority)
{
    Class &each = this->classes[priority];
    if (each.inFlight > 0) {
        --each.inFlight;
        --this->total;
    }
}

bool ServiceLoad::present(const Class &each, Instant now) const
{
    return each.inFlight > 0 || now - each.offeredAt < presence;
}

bool ServiceLoad::allows(std::uint32_t priority, Instant now, RandomEngine &random) const
{
    int rank = 0;
    bool lowerPresent = false;
    std::uint32_t upToThis = 0;
    for (const auto &[other, each] : this->classes) {
        rank += other < priority && this->present(each, now) ? 1 : 0;
        lowerPresent = lowerPresent || (other > priority && this->present(each, now));
        upToThis += other <= priority ? each.inFlight : 0;
    }
    if (rank == 0 && lowerPresent) {
        return static_cast<double>(upToThis) < this->limit.value() + highestHeadroom;
    }
    return this->limit.allows(this->total, std::max(1.0 - partPerRank * rank, lowestPart), random);
}

bool ServiceLoad::scarce() const
{
    return static_cast<double>(this->total) >= this->limit.value() * scarcePart;
}

bool ServiceLoad::hopeless(Duration budget) const
{
    return this->latency.trusted() && budget * hopelessFactor < this->latency.floor();
}

Duration ServiceLoad::expectedLatency(Instant now) const
{
    return this->latency.trusted() ? this->latency.expected(this->latency.floor(), now)
                                   : Duration::zero();
}

} // namespace lagoondeck
