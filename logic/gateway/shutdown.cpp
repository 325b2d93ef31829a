#include "logic/gateway/shutdown.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// The end of the grace period that is reserved for sending the last answers.
constexpr Duration sendReserve = std::chrono::milliseconds(400);
/// The end of the grace period that is reserved for the exit of the process.
constexpr Duration exitReserve = std::chrono::milliseconds(150);
/// A short grace period is divided in the same way.
constexpr int sendReserveDivisor = 4;
constexpr int exitReserveDivisor = 10;

} // namespace

void Shutdown::begin(Instant now, Duration grace)
{
    if (this->hasBegun()) {
        return;
    }
    this->begunAt = now;
    this->answersDue = now + grace - std::min(sendReserve, grace / sendReserveDivisor);
    this->exitDue = now + grace - std::min(exitReserve, grace / exitReserveDivisor);
}

bool Shutdown::canServe(Duration timeNeeded, Instant deadlineAt, Instant now) const
{
    return !this->hasBegun() || std::min(deadlineAt, now + timeNeeded) <= this->answersDue;
}

} // namespace lagoondeck
