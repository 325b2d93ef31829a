#pragma once

#include <cstdint>

namespace lagoondeck {

/// How often a target was chosen, or none, while replicas were left out for the same reason. Counts
/// since the process started.
struct PlacementCounts
{
    /// The replicas' failure domain is evacuated.
    std::uint64_t evacuated = 0;
    /// The replicas are cold, and their limit leaves no request.
    std::uint64_t cold = 0;
    /// The replicas' failure domain is lost.
    std::uint64_t lost = 0;
    /// The replicas are not in a region that the route and the account allow.
    std::uint64_t farRegion = 0;
};

} // namespace lagoondeck
