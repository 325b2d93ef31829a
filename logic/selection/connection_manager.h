#pragma once

#include "logic/context.h"
#include "logic/events.h"
#include "logic/selection/target_state.h"

#include <cstdint>

namespace lagoondeck {

/// Opens and closes this instance's connections to the targets, within its share of each target's
/// connection cap.
class ConnectionManager
{
public:
    /// The connection caps are divided by at least `expectedInstances`, even when fewer instances
    /// are live.
    explicit ConnectionManager(std::uint32_t expectedInstances);

    /// Sets the number of instances in the membership view, including this one.
    void setLiveInstances(std::uint32_t instances) { this->liveInstances = instances; }
    /// From now on no connection is opened, and each connection is closed when it becomes idle.
    void stopOpening() { this->draining = true; }

    /// Opens connections up to this instance's share, and closes idle ones above it.
    void adjustToShare(TargetState &state, Context &context);
    void closeIdle(TargetState &state, Context &context);
    /// Marks a connection as idle, or closes it when this instance is stopping or the target was
    /// removed.
    void returnToIdle(TargetState &state, ConnectionId connection, Context &context);
    /// Removes a connection that has ended, and sets the backoff when the target refused it or
    /// could not be reached.
    void onClosed(TargetState &state, const ConnectionClosed &event, Context &context);
    /// Requests a report from a target that has not sent one for a while.
    void probeIfSilent(TargetState &state, Context &context);
    /// Returns the number of connections that this instance may have to the target now.
    std::uint32_t shareOf(const TargetState &state) const;

private:
    void open(TargetState &state, Context &context);

    std::uint32_t expectedInstances;
    std::uint32_t liveInstances = 1;
    bool draining = false;
};

} // namespace lagoondeck
