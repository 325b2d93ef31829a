#include "logic/admission/caller_shares.h"

#include "logic/admission/max_min_fair_share.h"

#include <vector>

namespace lagoondeck {

namespace {

constexpr Duration refreshInterval = std::chrono::milliseconds(100);
/// Callers beyond this number share one count, so that invented caller names cannot exhaust memory.
constexpr std::size_t maxCallers = 512;
/// Callers with fewer queries per second than this are removed when there are too many callers.
constexpr double idleRate = 0.01;
/// How far a caller may exceed its fair share: by this factor plus this many queries per second, so
/// that random fluctuations of its load do not cause refusals.
constexpr double toleranceFactor = 1.1;
constexpr double toleranceRate = 1.0;

} // namespace

CallerShares::Counts &CallerShares::countsOf(const CallerName &caller, Instant now)
{
    if (const auto found = this->callers.find(caller); found != this->callers.end()) {
        return found->second;
    }
    if (this->callers.size() >= maxCallers) {
        this->removeIdleCallers(now);
    }
    const bool isFull = this->callers.size() >= maxCallers;
    return this->callers[isFull ? CallerName() : caller];
}

void CallerShares::removeIdleCallers(Instant now)
{
    std::erase_if(this->callers,
                  [&](const auto &caller) { return caller.second.offered.at(now) < idleRate; });
}

void CallerShares::onOffered(const CallerName &caller, Instant now)
{
    this->countsOf(caller, now).offered.add(1.0, now);
}

void CallerShares::onAdmitted(const CallerName &caller, Instant now)
{
    this->countsOf(caller, now).admitted.add(1.0, now);
}

bool CallerShares::isWithinShare(const CallerName &caller, Instant now)
{
    if (now >= this->refreshAt) {
        this->refreshFairShare(now);
    }
    return this->callers.size() < 2
            || this->countsOf(caller, now).admitted.at(now)
            <= this->fairShare * toleranceFactor + toleranceRate;
}

void CallerShares::refreshFairShare(Instant now)
{
    this->refreshAt = now + refreshInterval;
    std::vector<double> demands;
    demands.reserve(this->callers.size());
    double capacity = 0.0;
    for (const auto &[name, counts] : this->callers) {
        demands.push_back(counts.offered.at(now));
        capacity += counts.admitted.at(now);
    }
    this->fairShare = maxMinFairShare(std::move(demands), capacity);
}

} // namespace lagoondeck
