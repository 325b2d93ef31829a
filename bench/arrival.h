#pragma once

#include "bench/load_plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// One scheduled query of a load run.
struct Arrival
{
    /// The scheduled send time, relative to the start of the run.
    Duration at {};
    std::size_t stream = 0;
    std::string caller;
    std::string requestId;
    /// The query's shard; used only when the stream is not idempotent.
    std::uint32_t shard = 0;
};

/// Returns the stream's rate at a time relative to the start of the run.
double rateAt(const LoadStream &stream, Duration at);

/// Draws all arrivals of a run, in order of time. The load is open-loop: send times depend only on
/// the plan, so slow answers don't delay later queries.
std::vector<Arrival> drawArrivals(const LoadPlan &plan, const std::string &runId);

} // namespace lagoondeck
