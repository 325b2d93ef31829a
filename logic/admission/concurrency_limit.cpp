#include "logic/admission/concurrency_limit.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr double wantedPart = 0.5;
/// A missed deadline counts as an answer this late.
constexpr double missedPart = 1.5;
constexpr double averageWeight = 0.1;
constexpr double shrinkWeight = 0.2;
/// An answer lets the limit grow by at most this much and this part of itself.
constexpr double growth = 0.2;
constexpr double growthPart = 0.02;
/// The limit grows only while at least this part of it is used.
constexpr double usedPart = 0.6;
/// Above what is in flight the limit keeps room for a sudden crest, and no more, since it would
/// have to shrink first when the crest is above the service's capacity.
constexpr double roomFactor = 2.0;
constexpr double room = 6.0;
constexpr double roomWeight = 0.01;
constexpr double lowestLimit = 1.0;
constexpr double highestLimit = 100'000.0;

} // namespace

void ConcurrencyLimit::onAnswered(double partOfDeadline, std::uint32_t inFlight)
{
    this->adapt(std::min(partOfDeadline, missedPart), inFlight);
}

void ConcurrencyLimit::onMissed(std::uint32_t inFlight)
{
    this->adapt(missedPart, inFlight);
}

void ConcurrencyLimit::adapt(double partOfDeadline, std::uint32_t inFlight)
{
    this->recentPart += averageWeight * (partOfDeadline - this->recentPart);
    const auto used = static_cast<double>(inFlight);
    if (this->recentPart > wantedPart) {
        const double fitting = used * wantedPart / this->recentPart;
        if (fitting < this->limit) {
            this->limit += shrinkWeight * (fitting - this->limit);
        }
    } else if (used >= this->limit * usedPart) {
        const double slack = (wantedPart - this->recentPart) / wantedPart;
        this->limit += slack * (growth + growthPart * this->limit);
    } else if (this->limit > used * roomFactor + room) {
        this->limit += roomWeight * (used * roomFactor + room - this->limit);
    }
    this->limit = std::clamp(this->limit, lowestLimit, highestLimit);
}

bool ConcurrencyLimit::allows(std::uint32_t inFlight, double part, RandomEngine &random) const
{
    const double free = this->limit * part - static_cast<double>(inFlight);
    if (free >= 1.0 || inFlight == 0) {
        return true;
    }
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    return free > 0.0 && chance(random) < free;
}

} // namespace lagoondeck
