#pragma once

#include <compare>
#include <cstdint>

namespace lagoondeck {

/// Which part of the reducer a timer belongs to.
enum class TimerKind {
    QueryDeadline,     ///< key: the QueryId.
    QueueCheck,        ///< key: unused. Drops queued work that can't finish in time.
    Hedge,             ///< key: the QueryId.
    TargetMaintenance, ///< key: unused. Connections, ramps, probes.
    Membership,        ///< key: unused. One gossip round.
    Catalogue,         ///< key: unused. The watchers' and the anti-entropy's step.
    Claim,             ///< key: the QueryId.
    Quarantine,        ///< key: unused. Expiry.
    Shares,            ///< key: unused. Exchanged demand and class limits.
    StopBound,         ///< key: unused. The graceful stop's bound.
};

/// Names one timer; setting it again replaces the earlier setting.
struct Timer
{
    TimerKind kind = TimerKind::QueryDeadline;
    std::uint64_t key = 0;

    // The linter takes the zero that a rewritten comparison compares with for a null pointer.
    auto operator<=>(const Timer &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lagoondeck
