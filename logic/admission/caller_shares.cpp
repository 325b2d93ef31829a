#include "logic/admission/caller_shares.h"

#include "logic/admission/fair_level.h"

#include <vector>

namespace lagoondeck {

namespace {

constexpr Duration refreshInterval = std::chrono::milliseconds(100);
/// More callers than this share one count, so that made-up names don't cost memory.
constexpr std::size_t mostCallers = 512;
/// A caller with fewer queries a second than this is forgotten.
constexpr double quietRate = 0.01;
/// What a caller may have above its share, so that chance does not cost it queries.
constexpr double slackFactor = 1.1;
constexpr double slack = 1.0;

} // namespace

CallerShares::Counts &CallerShares::countsOf(const CallerName &caller, Instant now)
{
    if (const auto found = this->callers.find(caller); found != this->callers.end()) {
        return found->second;
    }
    if (this->callers.size() >= mostCallers) {
        this->forgetQuiet(now);
    }
    const bool full = this->callers.size() >= mostCallers;
    return this->callers[full ? CallerName() : caller];
}

void CallerShares::forgetQuiet(Instant now)
{
    std::erase_if(this->callers,
                  [&](const auto &each) { return each.second.offered.at(now) < quietRate; });
}

void CallerShares::onOffered(const CallerName &caller, Instant now)
{
    this->countsOf(caller, now).offered.add(1.0, now);
}

void CallerShares::onAdmitted(const CallerName &caller, Instant now)
{
    this->countsOf(caller, now).admitted.add(1.0, now);
}

bool CallerShares::underShare(const CallerName &caller, Instant now)
{
    if (now >= this->refreshAt) {
        this->refreshLevel(now);
    }
    return this->callers.size() < 2
            || this->countsOf(caller, now).admitted.at(now) <= this->level * slackFactor + slack;
}

void CallerShares::refreshLevel(Instant now)
{
    this->refreshAt = now + refreshInterval;
    std::vector<double> wanted;
    wanted.reserve(this->callers.size());
    double capacity = 0.0;
    for (const auto &[name, counts] : this->callers) {
        wanted.push_back(counts.offered.at(now));
        capacity += counts.admitted.at(now);
    }
    this->level = fairLevel(std::move(wanted), capacity);
}

} // namespace lagoondeck
