#pragma once

#include "core/time.h"
#include "drivers/edge/eviction_counts.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/workload/connection_bounds.h"

#include <cstdint>
#include <functional>

namespace lagoondeck {

class HttpListener;
class TargetLinks;

/// Adapts the number of callers' connections to the descriptors that are left, and logs what was
/// closed because of the bounds.
class BoundsCheck
{
public:
    using Log = std::function<void(const WriteLog &)>;

    BoundsCheck(const MachineShares &shares, Log log);

    /// Does nothing if the latest check was less than a second ago.
    void run(HttpListener &callers, const TargetLinks &targets, Instant now);

private:
    void adaptConnections(HttpListener &callers, Instant now) const;
    void logEvictions(const HttpListener &callers);
    void logReplyEvictions(const TargetLinks &targets);

    MachineShares shares;
    Log log;
    Instant checkedAt {};
    /// What the latest log lines told.
    EvictionCounts logged;
    std::uint64_t loggedReplies = 0;
};

} // namespace lagoondeck
