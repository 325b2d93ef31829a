#include "logic/admission/concurrency_limit.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr double targetDeadlineFraction = 0.5;
/// A missed deadline counts as an answer that took this fraction of its deadline; answers later
/// than this count the same.
constexpr double missedDeadlineFraction = 1.5;
constexpr double averageWeight = 0.1;
constexpr double shrinkWeight = 0.2;
/// Each answer raises the limit by at most growthStep + growthFraction * limit.
constexpr double growthStep = 0.2;
constexpr double growthFraction = 0.02;
/// The limit grows only while at least this fraction of it is in use.
constexpr double minUsedFraction = 0.6;
/// The limit keeps headroom above the queries in flight for a sudden load surge. It decays towards
/// this headroom when it is larger, because a surge above the service's capacity would first have
/// to shrink it.
constexpr double headroomFactor = 2.0;
constexpr double minHeadroom = 6.0;
constexpr double headroomDecayWeight = 0.01;
constexpr double minLimit = 1.0;
constexpr double maxLimit = 100'000.0;

} // namespace

void ConcurrencyLimit::onAnswered(double deadlineFraction, std::uint32_t inFlight)
{
    this->adapt(std::min(deadlineFraction, missedDeadlineFraction), inFlight);
}

void ConcurrencyLimit::onMissed(std::uint32_t inFlight)
{
    this->adapt(missedDeadlineFraction, inFlight);
}

void ConcurrencyLimit::adapt(double deadlineFraction, std::uint32_t inFlight)
{
    this->averageDeadlineFraction +=
            averageWeight * (deadlineFraction - this->averageDeadlineFraction);
    const auto used = static_cast<double>(inFlight);
    if (this->averageDeadlineFraction > targetDeadlineFraction) {
        const double sustainable = used * targetDeadlineFraction / this->averageDeadlineFraction;
        if (sustainable < this->limit) {
            this->limit += shrinkWeight * (sustainable - this->limit);
        }
    } else if (used >= this->limit * minUsedFraction) {
        const double relativeMargin =
                (targetDeadlineFraction - this->averageDeadlineFraction) / targetDeadlineFraction;
        this->limit += relativeMargin * (growthStep + growthFraction * this->limit);
    } else if (this->limit > used * headroomFactor + minHeadroom) {
        this->limit += headroomDecayWeight * (used * headroomFactor + minHeadroom - this->limit);
    }
    this->limit = std::clamp(this->limit, minLimit, maxLimit);
}

bool ConcurrencyLimit::allows(std::uint32_t inFlight, double limitFraction,
                              RandomEngine &random) const
{
    const double freeCapacity = this->limit * limitFraction - static_cast<double>(inFlight);
    if (freeCapacity >= 1.0 || inFlight == 0) {
        return true;
    }
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    return freeCapacity > 0.0 && chance(random) < freeCapacity;
}

} // namespace lagoondeck
