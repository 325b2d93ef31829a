#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/world_change.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// Reads everything, page by page.
struct ReadWorld
{
    /// The last key of the page before; empty for the first page.
    std::string after;
};

/// Reads what has changed since a revision, and waits for a change when there is none.
struct WatchWorld
{
    std::uint64_t afterRevision = 0;
    Duration wait {};
};

/// Asks for a lease.
struct GrantLease
{
    Duration timeToLive {};
};

/// Prolongs a lease.
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

/// How the store took a call.
enum class StoreVerdict {
    Done,
    NotFound,       ///< The key or lease does not exist.
    HistoryGone,    ///< The revision is too old to watch from.
    ConditionFails, ///< The compared keys changed.
    TooManyCalls,
    Unavailable, ///< Nothing was done.
    Refused,     ///< The store does not take such a call.
    NoAnswer,    ///< It may have been done, or may be done later.
    Unreadable,  ///< An answer that can't be understood.
};

/// What the store answered.
struct StoreAnswer
{
    StoreVerdict verdict = StoreVerdict::NoAnswer;
    std::vector<WorldChange> changes;
    /// The store's revision at the answer.
    std::uint64_t revision = 0;
    /// There are more pages after the last key.
    bool more = false;
    std::string lastKey;
    std::uint64_t lease = 0;
    Duration timeToLive {};
};

} // namespace lagoondeck
