#pragma once

#include "bench/load_plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// One query that a load run means to send at a moment.
struct Arrival
{
    /// From the run's start.
    Duration at {};
    std::size_t stream = 0;
    std::string caller;
    std::string requestId;
    /// Used when the stream is not idempotent.
    std::uint32_t shard = 0;
};

/// The stream's rate at a moment.
double rateAt(const LoadStream &stream, Duration at);

/// Draws all arrivals of a run, in order of time. They depend on the plan alone: answers that come
/// late hold no later query back.
std::vector<Arrival> drawArrivals(const LoadPlan &plan, const std::string &runName);

} // namespace lagoondeck
