#include "logic/workload/group_queue.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoondeck {

namespace {

/// At most this many parts of a group wait. At 1.1 KB for a part of a new account and caller, that
/// is 4.6 MB. A group of 30
/// targets with 3 slots each and replies in 10 ms completes 9,000 requests a second, so that more
/// parts are not served within half a second.
constexpr std::size_t maxWaiting = 4096;
/// The capacity may grow by so much while a part waits, for example because the other instances
/// need less of it.
constexpr double growthMargin = 1.25;
/// How many standard deviations fewer parts ahead than counted may need a completion, because some
/// of them are withdrawn.
constexpr double maxDeviation = 2.0;
/// A refused caller is asked to wait for one to two times the time in which the queue drains, so
/// that the callers don't meet again.
constexpr double maxDrainFactor = 2.0;
/// What a caller is asked to wait at most: the queue may drain sooner.
constexpr Duration maxRetryDelay = std::chrono::seconds(5);

} // namespace

void GroupQueue::add(const WaitingPart &part, const WaitingSender &sender, Instant startBy,
                     Instant now)
{
    this->parts.add(part, sender, startBy);
    this->completions.setWaiting(true, now);
}

void GroupQueue::takeNext(Instant now)
{
    this->parts.takeNext();
    this->completions.setWaiting(this->parts.size() > 0, now);
}

void GroupQueue::remove(const WaitingPart &part, Instant now)
{
    this->parts.remove(part);
    this->completions.setWaiting(this->parts.size() > 0, now);
}

void GroupQueue::onCompleted(std::size_t targetCount, Instant now)
{
    if (targetCount > this->knownTargets) {
        this->completions.reset();
    }
    this->knownTargets = targetCount;
    this->completions.add(now);
}

bool GroupQueue::isSurelyLate(std::size_t ahead, Duration timeLeft, Instant now) const
{
    const std::optional<double> rate = this->completions.maxPerSecond(now);
    if (!rate) {
        return false;
    }
    const auto count = static_cast<double>(ahead);
    const double minCount = count - maxDeviation * std::sqrt(count);
    const double seconds = std::max(std::chrono::duration<double>(timeLeft).count(), 0.0);
    return minCount > *rate * growthMargin * seconds;
}

LatePart GroupQueue::makeLate(LateCause cause, std::size_t ahead, Duration timeLeft,
                              Instant now) const
{
    LatePart late;
    late.cause = cause;
    late.ahead = ahead;
    late.completionsPerSecond = this->completions.perSecond(now).value_or(0.0);
    late.timeLeft = timeLeft;
    return late;
}

std::optional<LatePart> GroupQueue::takeLate(Instant now)
{
    const FairQueue::Entry *last = this->parts.last();
    if (last == nullptr) {
        return std::nullopt;
    }
    const std::size_t ahead = this->parts.size() - 1;
    const Duration timeLeft = last->startBy - now;
    const bool isFull = this->parts.size() > maxWaiting;
    if (!isFull && !this->givesUpLate) {
        return std::nullopt;
    }
    if (!isFull && (this->parts.mayLastPassOthers() || !this->isSurelyLate(ahead, timeLeft, now))) {
        return std::nullopt;
    }
    LatePart late =
            this->makeLate(isFull ? LateCause::Full : LateCause::Outlook, ahead, timeLeft, now);
    late.part = last->part;
    this->remove(late.part, now);
    return late;
}

std::optional<LatePart> GroupQueue::outlook(const WaitingSender &sender, Instant startBy,
                                            Instant now)
{
    const std::size_t ahead = this->parts.countAhead(sender);
    return this->isSurelyLate(ahead, startBy - now, now)
            ? std::optional(this->makeLate(LateCause::Outlook, ahead, startBy - now, now))
            : std::nullopt;
}

Duration GroupQueue::retryDelay(Instant now, RandomEngine &random) const
{
    const std::optional<double> rate = this->completions.perSecond(now);
    if (!rate) {
        return Duration(0);
    }
    std::uniform_real_distribution<double> factor(1.0, maxDrainFactor);
    const std::chrono::duration<double> delay(static_cast<double>(this->parts.size()) / *rate
                                              * factor(random));
    return delay < maxRetryDelay ? std::chrono::duration_cast<Duration>(delay) : maxRetryDelay;
}

} // namespace lagoondeck
