#pragma once

#include "core/ids.h"
#include "core/store_change.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// Reads the whole store, page by page.
struct ReadStore
{
    /// The last key of the previous page; empty for the first page.
    std::string afterKey;
};

/// Reads what has changed since a revision, or waits for a change when there is none.
struct WatchStore
{
    std::uint64_t afterRevision = 0;
    Duration wait {};
};

/// Requests a new lease.
struct GrantLease
{
    Duration timeToLive {};
};

/// Renews a lease.
struct RenewLease
{
    std::uint64_t lease = 0;
};

/// Ends a lease and removes its keys.
struct EndLease
{
    std::uint64_t lease = 0;
};

/// Registers this instance under a lease.
struct RegisterMember
{
    MemberRecord member;
    std::uint64_t lease = 0;
};

/// Records under a lease that a request is refused.
struct RecordQuarantine
{
    QuarantineRecord quarantine;
    std::uint64_t lease = 0;
};

using StoreCallBody = std::variant<ReadStore, WatchStore, GrantLease, RenewLease, EndLease,
                                   RegisterMember, RecordQuarantine>;

/// The outcome of a call to the store.
enum class StoreCallStatus {
    Done,
    NotFound,       ///< The key or lease does not exist.
    HistoryGone,    ///< The revision is too old to watch from.
    ConditionFails, ///< The compared keys have changed.
    TooManyCalls,
    Unavailable, ///< The store did not execute the call.
    Refused,     ///< The store does not accept such a call.
    NoAnswer,    ///< The call may have been executed, or may be executed later.
    Unreadable,  ///< The answer can't be parsed.
};

/// The answer of the store to a call.
struct StoreAnswer
{
    StoreCallStatus status = StoreCallStatus::NoAnswer;
    std::vector<StoreChange> changes;
    /// The store's revision when it answered.
    std::uint64_t revision = 0;
    /// The history that the store was in when it answered. It increases each time that the store is
    /// restored from a copy, and revisions and leases of different histories don't compare. 0 if
    /// the answer does not tell it.
    std::uint64_t history = 0;
    /// Whether there are more pages after lastKey.
    bool hasMore = false;
    std::string lastKey;
    std::uint64_t lease = 0;
    Duration timeToLive {};
    /// Whether the call used a connection that was kept from an earlier call.
    bool onKeptConnection = false;
    /// The time from the call to its answer or end.
    Duration elapsed {};
};

} // namespace lagoondeck
