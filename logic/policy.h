#pragma once

#include "core/settings.h"

namespace lagoondeck {

/// Which mechanisms are enabled. Benchmarks disable one at a time to measure its effect.
struct Policy
{
    /// Choose replicas by their observed state; otherwise choose at random.
    bool informedSelection = true;
    bool hedging = true;
    /// Limit the sub-requests in flight at each target.
    bool adaptiveLimits = true;
    /// Refuse queries that can't be served within their deadline.
    bool admissionControl = true;
    /// Send a refused or lost sub-request to another replica.
    bool retries = true;
    bool quarantine = true;

    /// Random replica choice, no hedging, no limits, fixed timeout.
    static Policy baseline() { return {false, false, false, false, false, false}; }
    static Policy of(PolicyKind kind)
    {
        return kind == PolicyKind::Baseline ? Policy::baseline() : Policy {};
    }
};

} // namespace lagoondeck
