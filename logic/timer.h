#pragma once

#include <compare>
#include <cstdint>

namespace lagoondeck {

/// Which part of the reducer a timer belongs to.
enum class TimerKind {
    QueryDeadline,     ///< key: the QueryId.
    QueueCheck,        ///< key: unused. Drops queued work that can't finish by its deadline.
    Hedge,             ///< key: the QueryId.
    TargetMaintenance, ///< key: unused. Connections, ramp-up, probes.
    Membership,        ///< key: unused. One gossip round.
    Catalogue,         ///< key: unused. Store watch and anti-entropy.
    Claim,             ///< key: the QueryId, or 0 for the claim queue.
    Quarantine,        ///< key: unused. Expiry.
    Shares,            ///< key: unused. Exchange of demand and class limits.
    StopBound,         ///< key: unused. Progress and time bound of a graceful stop.
};

/// Identifies a timer. Setting it again replaces its previous schedule.
struct Timer
{
    TimerKind kind = TimerKind::QueryDeadline;
    std::uint64_t key = 0;

    // clang-tidy mistakes the zero in the compiler-generated comparison for a null pointer.
    auto operator<=>(const Timer &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lagoondeck
