#pragma once

#include "core/settings.h"

namespace lagoondeck {

/// Which decisions are taken. Measurements switch one off at a time.
struct Policy
{
    /// Choose replicas by what is known of them; otherwise at random.
    bool informedSelection = true;
    bool hedging = true;
    /// Limit what is in flight at each target.
    bool adaptiveLimits = true;
    /// Refuse what can't be served in its deadline.
    bool admissionControl = true;
    /// Send a refused or lost sub-request to another replica.
    bool retries = true;
    bool quarantine = true;

    /// Random replica, no hedge, no limit, fixed timeout.
    static Policy baseline() { return {false, false, false, false, false, false}; }
    static Policy of(PolicyKind kind)
    {
        return kind == PolicyKind::Baseline ? Policy::baseline() : Policy {};
    }
};

} // namespace lagoondeck
