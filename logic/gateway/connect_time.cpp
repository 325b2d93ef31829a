#include "logic/gateway/connect_time.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration maxLimit = std::chrono::milliseconds(800);
/// The least time allows for a busy machine at the other end.
constexpr Duration minLimit = std::chrono::milliseconds(100);
// As for TCP's retransmission timeout (RFC 6298).
constexpr int averageDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 4;
constexpr int limitFactor = 2;

} // namespace

void ConnectTime::onConnected(Duration time)
{
    if (!this->average) {
        this->average = time;
        this->deviation = time / 2;
        return;
    }
    const Duration difference = time - *this->average;
    const Duration distance = std::max(difference, -difference);
    this->deviation += (distance - this->deviation) / deviationDivisor;
    *this->average += difference / averageDivisor;
}

Duration ConnectTime::limit() const
{
    if (!this->average) {
        return maxLimit;
    }
    return std::clamp<Duration>(limitFactor * (*this->average + deviationFactor * this->deviation),
                                minLimit, maxLimit);
}

} // namespace lagoondeck
