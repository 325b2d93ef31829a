#pragma once

#include "core/ids.h"
#include "logic/gateway/exchange_trace.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/target_limit.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lagoondeck {

/// Counts of the attempts at limited targets, by cause, since the process started.
struct LimitCounts
{
    std::uint64_t first = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

/// The limits that targets state for the requests of the whole fleet.
class TargetLimits
{
public:
    /// Called for each reply of a target. `perSecond` is empty if the reply states no limit.
    void onStated(const TargetId &target, std::optional<double> perSecond, GatewayContext &context);
    /// Called when an attempt is sent to a target.
    void onSent(const TargetId &target, TraceKind cause, Instant now);
    /// Drops what is known of a target that is gone.
    void forget(const TargetId &target) { this->limits.erase(target); }

    /// Returns how many targets are limited.
    std::size_t limitedCount(Instant now) const;
    const LimitCounts &counts() const { return this->attemptCounts; }

private:
    std::unordered_map<TargetId, TargetLimit> limits;
    LimitCounts attemptCounts;
};

} // namespace lagoondeck
