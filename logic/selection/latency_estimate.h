#pragma once

#include "core/time.h"

#include <cstdint>

namespace lagoondeck {

/// The recent latency of one target's sub-requests as this instance saw it: a moving average that
/// weighs new observations more.
class LatencyEstimate
{
public:
    /// A sub-request was answered.
    void add(Duration latency, Instant now);
    /// A sub-request ended unanswered after this time; the answer would have taken longer.
    void addUnfinished(Duration elapsed, Instant now);
    /// Forgets what was observed and begins again from an assumed latency.
    void restart(Duration assumed, Instant now);

    /// Enough was observed to compare it with other targets.
    bool trusted() const;
    bool empty() const { return this->samples == 0; }
    Duration mean() const { return this->average; }
    /// The lowest average for a long time: the latency without a queue.
    Duration floor() const { return this->lowest; }
    /// The average, drawn towards a reference while nothing new is observed, so that a target that
    /// was slow once is tried again.
    Duration expected(Duration reference, Instant now) const;

private:
    Duration average {};
    Duration lowest {};
    Instant observedAt {};
    std::uint32_t samples = 0;
};

} // namespace lagoondeck
