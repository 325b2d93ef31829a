#include "drivers/edge/arrival_bound.h"

namespace lagoondeck {

namespace {

/// A wait that ends this soon may have found data that arrived before it began.
constexpr Duration immediateWait = std::chrono::milliseconds(1);
/// A wait that takes longer than intended by more than this ended late because the process did not
/// run.
constexpr Duration wakeTolerance = std::chrono::milliseconds(5);

} // namespace

void ArrivalBound::onWaited(Instant calledAt, Duration wait, Instant wokeAt)
{
    const Duration waited = wokeAt - calledAt;
    if (waited < immediateWait) {
        // The previous wait would have returned data that had arrived before it ended.
        this->lowerBound = this->lastWakeAt == Instant() ? calledAt : this->lastWakeAt;
    } else if (waited > wait + wakeTolerance) {
        this->lowerBound = calledAt;
    } else {
        this->lowerBound = wokeAt;
    }
    this->lastWakeAt = wokeAt;
}

} // namespace lagoondeck
