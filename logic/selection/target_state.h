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

/// What one connection to a target is doing.
enum class ConnectionUse {
    Opening,
    Idle,
    Carrying, ///< It carries a sub-request.
    Probing,  ///< It carries a health check or a cancellation.
};

/// One connection of this instance to a target.
struct TargetConnection
{
    ConnectionId id;
    ConnectionUse use = ConnectionUse::Opening;
    /// When it began to carry its sub-request.
    Instant carryingSince {};
};

/// All that this instance knows of one target.
struct TargetState
{
    TargetInstance info;
    /// Some sign told that it is leaving.
    bool leaving = false;
    /// While it was leaving, a connection broke or could not be made: its process has ended, and
    /// one that answers from now on is another.
    bool endedSinceLeaving = false;
    /// The instance list names it no longer; it is dropped when its last connection ends.
    bool gone = false;
    TargetReport report;
    /// When the last report came; empty while no connection reaches the target.
    std::optional<Instant> reportedAt;
    std::vector<TargetConnection> connections;
    /// Sub-requests of this instance in flight at the target.
    std::uint32_t inFlight = 0;
    /// No connection is opened before this, after a refusal or a failure.
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

    TargetConnection *connection(ConnectionId id)
    {
        const auto found = std::ranges::find(this->connections, id, &TargetConnection::id);
        return found == this->connections.end() ? nullptr : &*found;
    }

    TargetConnection *idleConnection()
    {
        const auto found =
                std::ranges::find(this->connections, ConnectionUse::Idle, &TargetConnection::use);
        return found == this->connections.end() ? nullptr : &*found;
    }

    /// It may get new work, as far as this instance knows.
    bool usable() const { return !this->leaving && !this->gone && this->reportedAt.has_value(); }
};

} // namespace lagoondeck
