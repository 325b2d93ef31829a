#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "logic/limits/in_flight_limit.h"
#include "logic/selection/latency_estimate.h"
#include "logic/selection/load_ramp.h"
#include "logic/selection/probation.h"
#include "logic/target_report.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoondeck {

/// What one connection to a target is used for.
enum class ConnectionUse {
    Opening,
    Idle,
    SubRequest, ///< Carries a sub-request.
    Control,    ///< Carries a health check or a cancellation.
};

/// One connection of this instance to a target.
struct TargetConnection
{
    ConnectionId id;
    ConnectionUse use = ConnectionUse::Opening;
    /// When the current sub-request was sent on it.
    Instant subRequestSentAt {};
};

/// What this instance knows about one target.
struct TargetState
{
    TargetInstance info;
    /// The target is leaving, according to its report, a reply or the instance list.
    bool leaving = false;
    /// A connection broke or could not be opened while the target was leaving. Its process has
    /// ended, and one that answers from now on is a new process.
    bool endedSinceLeaving = false;
    /// The instance list no longer contains the target, or lists it with another address, service
    /// or shard. It is erased when its last connection has ended.
    bool removed = false;
    TargetReport report;
    /// When the last report came; empty while no connection reaches the target.
    std::optional<Instant> reportedAt;
    std::vector<TargetConnection> connections;
    /// Sub-requests of this instance in flight at the target.
    std::uint32_t inFlight = 0;
    /// No connection is opened before this time, after a refused or failed one.
    Instant retryConnectAt {};
    std::uint32_t connectFailures = 0;
    LatencyEstimate latency;
    LoadRamp ramp;
    Probation probation;
    InFlightLimit limit;

    bool serves(SnapshotVersion version) const
    {
        return std::ranges::find(this->report.snapshots, version, &SnapshotAnnouncement::version)
                != this->report.snapshots.end();
    }

    TargetConnection *findConnection(ConnectionId id)
    {
        const auto found = std::ranges::find(this->connections, id, &TargetConnection::id);
        return found == this->connections.end() ? nullptr : &*found;
    }

    TargetConnection *findIdleConnection()
    {
        const auto found =
                std::ranges::find(this->connections, ConnectionUse::Idle, &TargetConnection::use);
        return found == this->connections.end() ? nullptr : &*found;
    }

    /// Returns whether the target may get new work, as far as this instance knows.
    bool isUsable() const
    {
        return !this->leaving && !this->removed && this->reportedAt.has_value();
    }
};

} // namespace lagoondeck
