#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace lagoondeck {

/// Event counts of a stand-in target since the last reset.
struct TargetCounts
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedLeaving = 0;
    /// Sub-requests that arrived long after the target began to leave.
    std::uint64_t receivedLongAfterLeaving = 0;
    std::uint64_t refusedVersion = 0;
    std::uint64_t expiredWaiting = 0;
    std::uint64_t expiredRunning = 0;
    std::uint64_t cancelledWaiting = 0;
    std::uint64_t cancelledRunning = 0;
    std::uint64_t crashes = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t mostConnections = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TargetCounts, received, started, answered, shed, refusedLeaving,
                                   receivedLongAfterLeaving, refusedVersion, expiredWaiting,
                                   expiredRunning, cancelledWaiting, cancelledRunning, crashes,
                                   connectionsRefused, connectionsAccepted, mostConnections)
};

} // namespace lagoondeck
