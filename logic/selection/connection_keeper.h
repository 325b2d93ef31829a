#pragma once

#include "logic/context.h"
#include "logic/events.h"
#include "logic/selection/target_state.h"

#include <cstdint>

namespace lagoondeck {

/// Opens and closes this instance's connections to the targets, within its share of each cap.
class ConnectionKeeper
{
public:
    /// Caps are divided by this many instances at least.
    explicit ConnectionKeeper(std::uint32_t expectedInstances);

    /// How many instances the membership view has, this one included.
    void setLiveInstances(std::uint32_t instances) { this->liveInstances = instances; }
    /// From now on no connection is opened, and each one is closed when it becomes idle.
    void stopOpening() { this->closing = true; }

    /// Opens what the share allows, and closes idle connections beyond it.
    void keepShare(TargetState &state, Context &context);
    void closeIdle(TargetState &state, Context &context);
    /// Puts a connection back to idle, or closes it when it is not wanted any more.
    void settle(TargetState &state, ConnectionId connection, Context &context);
    /// Forgets a connection that ended.
    void onClosed(TargetState &state, const ConnectionClosed &event, Context &context);
    /// Asks a target that told nothing for a while for its report.
    void probeSilent(TargetState &state, Context &context);
    /// What this instance may open to the target now.
    std::uint32_t shareOf(const TargetState &state) const;

private:
    void open(TargetState &state, Context &context);

    std::uint32_t expectedInstances;
    std::uint32_t liveInstances = 1;
    bool closing = false;
};

} // namespace lagoondeck
