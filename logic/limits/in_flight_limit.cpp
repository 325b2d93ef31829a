#include "logic/limits/in_flight_limit.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr double minLimit = 1.0;
constexpr double shedDecreaseFactor = 0.7;
constexpr double queueingDecreaseFactor = 0.9;
/// A recent latency above this multiple of the baseline means that sub-requests queue at the
/// target.
constexpr double queueingMultiple = 1.5;
/// While the limit is reached, a limit of n grows by this with every n answers.
constexpr double limitIncrease = 0.2;
/// Assumed service time before the first answer.
constexpr Duration initialLatency = std::chrono::milliseconds(10);
constexpr Duration minBackoff = std::chrono::milliseconds(1);
constexpr std::uint32_t maxBackoffDoublings = 5;

} // namespace

std::uint32_t InFlightLimit::value() const
{
    return static_cast<std::uint32_t>(std::max(this->limit, minLimit));
}

bool InFlightLimit::allows(std::uint32_t inFlight, Instant now) const
{
    return now >= this->backoffUntil && inFlight < this->value();
}

void InFlightLimit::onAnswered(Duration recentLatency, Duration baselineLatency,
                               bool isLimitReached, std::uint32_t ceiling, Instant now)
{
    this->consecutiveSheds = 0;
    this->limit = std::min(this->limit, std::max(static_cast<double>(ceiling), minLimit));
    if (static_cast<double>(recentLatency.count())
        > static_cast<double>(baselineLatency.count()) * queueingMultiple) {
        this->shrink(queueingDecreaseFactor, baselineLatency, now);
    } else if (isLimitReached) {
        this->limit =
                std::min(this->limit + limitIncrease / this->limit, static_cast<double>(ceiling));
    }
    this->limit = std::max(this->limit, minLimit);
}

void InFlightLimit::onShed(Duration baselineLatency, std::uint32_t slots, Instant now,
                           RandomEngine &random)
{
    const Duration serviceTime = baselineLatency.count() > 0 ? baselineLatency : initialLatency;
    this->shrink(shedDecreaseFactor, serviceTime, now);
    const Duration untilSlotFrees =
            std::max(serviceTime / std::max<Duration::rep>(slots, 1), minBackoff);
    const Duration meanBackoff =
            untilSlotFrees * (1 << std::min(this->consecutiveSheds, maxBackoffDoublings));
    std::uniform_int_distribution<Duration::rep> backoff(meanBackoff.count() / 2,
                                                         meanBackoff.count() * 3 / 2);
    ++this->consecutiveSheds;
    this->backoffUntil = now + Duration(backoff(random));
}

void InFlightLimit::shrink(double factor, Duration pause, Instant now)
{
    if (now < this->nextShrinkAt) {
        return;
    }
    this->limit = std::max(this->limit * factor, minLimit);
    this->nextShrinkAt = now + pause;
}

} // namespace lagoondeck
