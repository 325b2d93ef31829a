#include "logic/gateway/limit_reports.h"

#include <cstddef>
#include <random>

namespace lagoondeck {

namespace {

/// A report waits for a random time, in which a member's report usually makes it needless: all
/// instances that send to a target hear of its limit at almost the same time.
constexpr Duration minDelay = std::chrono::milliseconds(5);
constexpr Duration maxDelay = std::chrono::milliseconds(40);
/// Bounds the size of a report. The remaining limits follow in the next one.
constexpr std::size_t maxEntries = 128;

} // namespace

void LimitReports::add(const TargetId &target, std::optional<double> perSecond, Instant now,
                       RandomEngine &random)
{
    if (this->pending.empty()) {
        std::uniform_int_distribution<Duration::rep> delay(minDelay.count(), maxDelay.count());
        this->dueAt = now + Duration(delay(random));
    }
    this->pending.insert_or_assign(target, perSecond);
}

std::vector<StatedLimit> LimitReports::takeDue(Instant now)
{
    std::vector<StatedLimit> due;
    if (now < this->nextTimer()) {
        return due;
    }
    while (!this->pending.empty() && due.size() < maxEntries) {
        const auto first = this->pending.begin();
        due.push_back({first->first, first->second});
        this->pending.erase(first);
    }
    this->dueAt = now + maxDelay;
    return due;
}

} // namespace lagoondeck
