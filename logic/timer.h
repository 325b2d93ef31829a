#pragma once

#include <compare>
#include <cstdint>

namespace lagoondeck {

/// What a timer is for. The key of the timer is unused unless it is described here.
enum class TimerKind {
    QueryDeadline,     ///< The deadline of the query whose QueryId is the key.
    QueueCheck,        ///< Drops queued work that can't finish by its deadline.
    Hedge,             ///< Hedges and retries of the query whose QueryId is the key.
    TargetMaintenance, ///< Connections, load ramps and probes of targets.
    Membership,        ///< The next gossip round.
    Catalogue,         ///< Store watch and anti-entropy.
    Claim,             ///< The claim for the query whose QueryId is the key; 0 for the claim queue.
    Quarantine,        ///< Expiry of crash suspicions, canary runs and waiting requests.
    Shares,            ///< Exchange of demand and recomputation of shares.
    StopBound,         ///< Progress and time bound of a graceful stop.
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
