#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/context.h"
#include "logic/gateway/gateway_events.h"

#include <map>
#include <optional>

namespace lagoondeck {

/// Collects the limits that targets stated to this instance and that the other members may not know
/// yet, so that one message tells many of them.
class LimitReports
{
public:
    /// Adds a target's limit to the next report. `perSecond` is empty if the target states none.
    void add(const TargetId &target, std::optional<double> perSecond, Instant now,
             RandomEngine &random);
    /// Called when a member has reported the target's limit, so that this instance need not.
    void cancel(const TargetId &target) { this->pending.erase(target); }
    /// Returns the report that is due; it has no entries if none is.
    std::vector<StatedLimit> takeDue(Instant now);
    /// Returns when takeDue() must be called next.
    Instant nextTimer() const { return this->pending.empty() ? Instant::max() : this->dueAt; }

private:
    std::map<TargetId, std::optional<double>> pending;
    Instant dueAt {};
};

} // namespace lagoondeck
