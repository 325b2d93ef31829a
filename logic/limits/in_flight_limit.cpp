#include "logic/limits/in_flight_limit.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr double lowestLimit = 1.0;
constexpr double shedFactor = 0.7;
constexpr double delayFactor = 0.9;
/// A recent latency above this multiple of the usual one means that the target queues.
constexpr double queueingMultiple = 1.5;
/// A limit of n grows by this with every n answers while it binds.
constexpr double growth = 0.2;
/// Used before the first answer.
constexpr Duration assumedLatency = std::chrono::milliseconds(10);
constexpr Duration shortestRest = std::chrono::milliseconds(1);
constexpr std::uint32_t mostRestDoublings = 5;

} // namespace

std::uint32_t InFlightLimit::whole() const
{
    return static_cast<std::uint32_t>(std::max(this->limit, lowestLimit));
}

bool InFlightLimit::allows(std::uint32_t inFlight, Instant now) const
{
    return now >= this->restUntil && inFlight < this->whole();
}

void InFlightLimit::onAnswered(Duration recent, Duration usual, bool full, std::uint32_t ceiling,
                               Instant now)
{
    this->shedsInRow = 0;
    this->limit = std::min(this->limit, std::max(static_cast<double>(ceiling), lowestLimit));
    if (static_cast<double>(recent.count())
        > static_cast<double>(usual.count()) * queueingMultiple) {
        this->shrink(delayFactor, usual, now);
    } else if (full) {
        this->limit = std::min(this->limit + growth / this->limit, static_cast<double>(ceiling));
    }
    this->limit = std::max(this->limit, lowestLimit);
}

void InFlightLimit::onShed(Duration usual, std::uint32_t slots, Instant now, RandomEngine &random)
{
    const Duration service = usual.count() > 0 ? usual : assumedLatency;
    this->shrink(shedFactor, service, now);
    const Duration untilSlotFrees =
            std::max(service / std::max<Duration::rep>(slots, 1), shortestRest);
    const Duration middle = untilSlotFrees * (1 << std::min(this->shedsInRow, mostRestDoublings));
    std::uniform_int_distribution<Duration::rep> rest(middle.count() / 2, middle.count() * 3 / 2);
    ++this->shedsInRow;
    this->restUntil = now + Duration(rest(random));
}

void InFlightLimit::shrink(double factor, Duration pause, Instant now)
{
    if (now < this->shrinkAgainAt) {
        return;
    }
    this->limit = std::max(this->limit * factor, lowestLimit);
    this->shrinkAgainAt = now + pause;
}

} // namespace lagoondeck
