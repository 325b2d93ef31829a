#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/world_change.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// Reads the whole store, page by page.
struct ReadWorld
{
    /// The last key of the previous page; empty for the first page.
    std::string after;
};

/// Reads what has changed since a revision, or waits for a change when there is none.
struct WatchWorld
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

using StoreCallBody =
        std::variant<ReadWorld, WatchWorld, GrantLease, RenewLease, EndLease, RegisterMember>;

/// The outcome of a call to the store.
enum class StoreVerdict {
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
    StoreVerdict verdict = StoreVerdict::NoAnswer;
    std::vector<WorldChange> changes;
    /// The store's revision when it answered.
    std::uint64_t revision = 0;
    /// Whether there are more pages after lastKey.
    bool more = false;
    std::string lastKey;
    std::uint64_t lease = 0;
    Duration timeToLive {};
};

} // namespace lagoondeck
