#pragma once

#include "core/target_record.h"
#include "core/time.h"
#include "logic/gateway/learned_state.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lagoondeck {

/// Remembers what targets said of themselves, so that it still counts when a target's entry in the
/// store is removed and comes back.
class TargetAnnouncements
{
public:
    /// Records that a target said that it is leaving.
    void addLeaving(const LeavingTarget &target, Instant now);
    /// Returns the processes that said that they are leaving.
    std::vector<LeavingTarget> leavingTargets(Instant now) const;
    /// Returns whether this process of the target said that it is leaving.
    bool isLeaving(const TargetRecord &target) const;

private:
    struct Announcement
    {
        std::int64_t startedAtMs = 0;
        Instant at {};
    };

    std::map<TargetId, Announcement> leaving;
};

} // namespace lagoondeck
